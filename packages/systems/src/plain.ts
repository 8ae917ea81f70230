/** What the daemon asks of a plain service. */
import type {Result} from 'ts-results-es';

/** A failed call. */
export interface PlainError {
  /** `unreachable`: the connection was refused, so nothing was sent. `broken`: sent, no answer. */
  readonly kind: 'unreachable' | 'broken';
  readonly message: string;
}

/** Answer of a plain service. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A call to one operation. */
export interface PlainCall {
  readonly requestId: string;
  readonly operation: string;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** Opens a new connection, so that `unreachable` proves that nothing was sent. */
  readonly freshConnection: boolean;
}

/** A plain service instance. */
export interface PlainService {
  call(call: PlainCall): Promise<Result<PlainAnswer, PlainError>>;
}
