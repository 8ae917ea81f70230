/** Decides whether a request is repeated after its target may have crashed because of it. */
import {incarnationOf} from '@balsamnotch/core';
import {RequestEnd} from '@balsamnotch/wire';
import {filter, firstValueFrom, from, map, merge, takeUntil, timer} from 'rxjs';
import type {CrashEvidence} from '../node/crashevidence.js';

/**
 * Time for which a repeat waits for the record of a crash, in milliseconds. The target node
 * notices a crash within 120 ms and publishes it 60 ms later.
 */
const RECORD_WAIT_MS = 300;

/** A request whose attempt at a target has ended. */
export interface EndedAttempt {
  /** Parts of the prompt that other requests share. */
  readonly sharedParts: readonly string[];
  /** See {@link EndedRequest.brokenRequest}. */
  readonly brokenRequest: string;
  readonly end: RequestEnd;
  /** Incarnation of the target as the registry states it, in Unix milliseconds. */
  readonly incarnationMs: number;
}

/** Resolves to true if the engine's crash is on record, at once or within {@link RECORD_WAIT_MS}. */
function isCrashRecorded(
  evidence: CrashEvidence,
  incarnationMs: number,
): Promise<boolean> {
  const records = evidence.records().map(({key}) => key);
  return firstValueFrom(
    merge(from(records), evidence.added$.pipe(map(({key}) => key))).pipe(
      filter(key => incarnationOf(key) === incarnationMs),
      map(() => true),
      takeUntil(timer(RECORD_WAIT_MS)),
    ),
    {defaultValue: false},
  );
}

/** Returns whether another incarnation crashed with the request, and none has answered it since. */
function hasCrashedBefore(
  evidence: CrashEvidence,
  request: string,
  incarnationMs: number,
): boolean {
  return evidence
    .crashesOf(request)
    .some(key => incarnationOf(key) !== incarnationMs);
}

/**
 * Resolves to whether the request may be sent to another target, as far as crashes are
 * concerned. An engine that crashed as it began to write the answer probably crashed because
 * of the request, so its repeat would cost the next engine. At a target that had sent nothing,
 * the request is one of several that broke, and is repeated unless it broke in an earlier crash.
 */
export async function mayRepeatAfter(
  evidence: CrashEvidence,
  {sharedParts, brokenRequest, end, incarnationMs}: EndedAttempt,
): Promise<boolean> {
  if (hasCrashedBefore(evidence, brokenRequest, incarnationMs)) return false;
  const isBroken =
    end === RequestEnd.BROKEN || end === RequestEnd.BROKEN_AT_START;
  if (!isBroken || sharedParts.length === 0) return true;
  if (end === RequestEnd.BROKEN_AT_START) {
    if (await isCrashRecorded(evidence, incarnationMs)) return false;
  }
  return !evidence.isSuspected(sharedParts);
}
