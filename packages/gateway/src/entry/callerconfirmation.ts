/** Confirms that the caller of a request is present before the request is sent. */
import {readPendingInput} from '@balsamnotch/systems';
import type {GatewayContext} from '../node/context.js';

/**
 * Longest time between the confirmation and the write of the request, in milliseconds. It leaves
 * half of the half second within which a request may arrive after its caller has left to the network
 * and to pauses of the process.
 */
const MAX_AGE_MS = 250;

/** Longest time to repeat the confirmation once a connection is open, in milliseconds. */
const MAX_REPEATING_MS = 400;

/** Options of {@link CallerConfirmation}. */
export interface CallerConfirmationOptions {
  readonly context: Pick<GatewayContext, 'clock' | 'pauses'>;
  readonly isCallerPresent: () => Promise<boolean>;
  /** Called when the caller has left. */
  readonly onLeft: () => void;
  /** Returns whether the request may still be sent. */
  readonly isNeeded: () => boolean;
  /** Monotonic time at which the caller was last known to be present, in milliseconds. */
  readonly confirmedAtMs: number;
}

/** What is known of the presence of one request's caller. */
export class CallerConfirmation {
  private confirmedAtMs: number;

  constructor(private readonly options: CallerConfirmationOptions) {
    this.confirmedAtMs = options.confirmedAtMs;
  }

  /** Makes sure that the caller was present a short time ago, unless it has left. */
  async ensure(): Promise<void> {
    const {clock} = this.options.context;
    const ageMs = clock.monotonicMs() - this.confirmedAtMs;
    if (ageMs > MAX_AGE_MS) await this.confirm();
  }

  /** Reads what has arrived and finds out whether the caller has left. */
  private async confirm(): Promise<void> {
    const {context, isCallerPresent, onLeft} = this.options;
    const {clock} = context;
    const askedAtMs = clock.monotonicMs();
    await readPendingInput();
    if (await isCallerPresent()) this.confirmedAtMs = askedAtMs;
    else onLeft();
  }

  /**
   * Resolves to whether the request may be written now. An entry that is late may have confirmed
   * the caller long before its connection to the target is open, so that is repeated. If every
   * turn of the event loop is late, nothing is sent, since the choice of the target is out of date.
   */
  async mayWrite(): Promise<boolean> {
    const {context, isNeeded} = this.options;
    const {clock, pauses} = context;
    const startedAtMs = clock.monotonicMs();
    for (;;) {
      const nowMs = clock.monotonicMs();
      // If a pause has just ended, this check reports it.
      pauses.pauseMs();
      if (!isNeeded()) return false;
      if (nowMs - this.confirmedAtMs <= MAX_AGE_MS) return true;
      if (nowMs - startedAtMs > MAX_REPEATING_MS) return false;
      await this.confirm();
    }
  }
}
