/** What an attempt tells the target node about its engine. */
import {ATTEMPT_END} from '@balsamnotch/core';
import {RequestEnd} from '@balsamnotch/wire';
import type {AttemptResult} from './attempt.js';

/** End of a request at an engine, as the release of its lease states it. */
export interface EndedRequest {
  readonly end: RequestEnd;
  /** Time from the send of the request to the head of its answer, in milliseconds; 0 if none came. */
  readonly firstByteMs: number;
}

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

/** Returns how the request of an attempt ended. */
export function endedRequest(result: AttemptResult): EndedRequest {
  return {end: requestEnd(result), firstByteMs: result.firstByteMs};
}
