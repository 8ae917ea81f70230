/** Interface of the configuration service, as far as the daemon uses it: read and watch. */
import type {Result} from 'ts-results-es';

/** A published value. Each change of the value increases its version. */
export interface PublishedValue {
  readonly name: string;
  readonly version: number;
  readonly content: string;
}

/** A failed read or watch. */
export interface ConfigServiceError {
  readonly kind: 'unreachable' | 'timeout' | 'not_found' | 'failed';
  readonly message: string;
}

/** Time limits of a watch, in milliseconds. */
export interface ConfigWatchLimits {
  /** How long the service waits for a change before it responds. */
  readonly waitMs: number;
  /** Additional time after the wait within which the response must arrive. */
  readonly answerMs: number;
}

/** The configuration service. Each value is at most 1 MB. */
export interface ConfigService {
  /** Reads the current value of a name. */
  read(name: string): Promise<Result<PublishedValue, ConfigServiceError>>;
  /**
   * Waits until the version of the value differs from `after`, and resolves to
   * the value, or to undefined if there is no change within `limits.waitMs`.
   */
  watch(
    name: string,
    after: number,
    limits: ConfigWatchLimits,
  ): Promise<Result<PublishedValue | undefined, ConfigServiceError>>;
}
