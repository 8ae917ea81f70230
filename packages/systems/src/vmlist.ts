/** Interface of the platform's VM list. */
import type {Result} from 'ts-results-es';

/** One VM of the deployment. */
export interface VM {
  readonly name: string;
  readonly role: 'entry' | 'target';
  /** Service run by a target; empty for an entry. */
  readonly service: string;
  /** Address of the balsamnotch process, as `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** A failed read of the list. */
export interface VMListError {
  readonly kind: 'unreachable' | 'timeout' | 'failed';
  readonly message: string;
}

/** The platform's list of live and leaving VMs. Changes appear in it with a delay. */
export interface VMList {
  /** Reads the whole list. */
  read(): Promise<Result<readonly VM[], VMListError>>;
}
