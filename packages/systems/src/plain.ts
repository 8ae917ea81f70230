/** Interface of a plain service, as far as the daemon uses it. */
import type {Result} from 'ts-results-es';

/** A failed call. */
export interface PlainError {
  /**
   * `unreachable`: the connection could not be opened, so nothing was sent.
   * `broken`: the call may have been received, but there is no complete response.
   */
  readonly kind: 'unreachable' | 'broken';
  readonly message: string;
}

/** Response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A call to one operation. */
export interface PlainCall {
  readonly requestId: string;
  readonly operation: string;
  readonly body: Uint8Array;
  /** Time limit for the whole call, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether to open a new connection, on which `unreachable` proves that nothing was sent. */
  readonly freshConnection: boolean;
}

/** An instance of a plain service. */
export interface PlainService {
  /** Calls an operation. Any HTTP status counts as a response. */
  call(call: PlainCall): Promise<Result<PlainResponse, PlainError>>;
}
