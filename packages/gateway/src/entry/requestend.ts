/** What an attempt tells the target node about its engine. */
import {ATTEMPT_END} from '@balsamnotch/core';
import {RequestEnd} from '@balsamnotch/wire';
import type {AttemptResult} from './attempt.js';

/** End of a request at an engine, as the release of its lease states it. */
export interface EndedRequest {
  readonly end: RequestEnd;
  /** Time from the send of the request to the head of its answer, in milliseconds; 0 if none came. */
  readonly firstByteMs: number;
  /** Id of the request, see {@link requestPart}, if it may have crashed the engine; else empty. */
  readonly brokenRequest: string;
}

/** End of a request that its entry gave up after the engine had sent events. */
export const ENDED_AFTER_EVENTS: EndedRequest = {
  end: RequestEnd.ANSWERED,
  firstByteMs: 0,
  brokenRequest: '',
};

/**
 * Time from the first event of a stream within which a break of its connection may be a crash
 * because of the request, in milliseconds. A request begins to run with its first event, and one
 * that crashes engines does so soon.
 */
const CRASH_AFTER_START_MS = 1_000;

function requestEnd({
  end,
  firstByteMs,
  firstEventMs,
  isConnectionLost,
}: AttemptResult): RequestEnd {
  if (firstEventMs > 0 || end === ATTEMPT_END.answered) {
    return RequestEnd.ANSWERED;
  }
  if (!isConnectionLost) return RequestEnd.UNKNOWN;
  return firstByteMs > 0 ? RequestEnd.BROKEN_AT_START : RequestEnd.BROKEN;
}

/** Returns whether the target may have crashed because of the request of the attempt. */
export function mayHaveCrashed({
  isConnectionLost,
  runMs,
}: AttemptResult): boolean {
  return isConnectionLost && runMs < CRASH_AFTER_START_MS;
}

/** Returns how the request of an attempt ended; `request` returns its id. */
export function endedRequest(
  result: AttemptResult,
  request: () => string,
): EndedRequest {
  return {
    end: requestEnd(result),
    firstByteMs: result.firstByteMs,
    brokenRequest: mayHaveCrashed(result) ? request() : '',
  };
}
