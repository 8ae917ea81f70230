/** What the daemon asks of the platform's list of VMs. */
import type {Result} from 'ts-results-es';

/** One VM of the deployment. */
export interface VM {
  readonly name: string;
  readonly role: 'entry' | 'target';
  /** Service of a target; empty for an entry. */
  readonly service: string;
  /** Address of the balsamnotch process: `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** A failed read of the list. */
export interface VMListError {
  readonly kind: 'unreachable' | 'timeout' | 'failed';
  readonly message: string;
}

/** The platform's list of live and leaving VMs. It lags. */
export interface VMList {
  read(): Promise<Result<readonly VM[], VMListError>>;
}
