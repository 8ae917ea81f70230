/** An attempt with a second one beside it, of which the first complete answer counts. */
import {ATTEMPT_END} from '@balsamnotch/core';
import {scheduleAfterInput} from '@balsamnotch/systems';
import type {Attempt, AttemptResult} from './attempt.js';
import {REFUSAL_STATUSES} from './status.js';
import type {SilenceWatch} from './silences.js';
import type {TargetState} from './targets.js';

/** Shortest time between two checks whether a late request gets a second attempt, in milliseconds. */
const MIN_CHECK_MS = 20;

/** An attempt at a target. */
export interface SentAttempt {
  readonly target: TargetState;
  readonly attempt: Attempt;
  /** Observer of its silences; undefined if it is not given up for another target. */
  readonly silences?: SilenceWatch;
  /** Monotonic time at which it began, in milliseconds. */
  readonly startedAtMs: number;
  /** Whether it was sent beside another one. */
  readonly isSecond: boolean;
}

/** An attempt that has ended. */
export interface EndedAttempt extends SentAttempt {
  readonly result: AttemptResult;
  /** Whether it was passed to {@link RaceOptions.onFailed} before. */
  readonly isRecorded: boolean;
}

/**
 * Returns whether an attempt brought an answer for the caller. One with the status of a refusal, whose
 * target did not state that the request has not run, is none while another attempt goes on.
 */
export function isUsableAnswer({end, answer}: AttemptResult): boolean {
  const isRefusal = answer !== undefined && REFUSAL_STATUSES.has(answer.status);
  return end === ATTEMPT_END.answered && !isRefusal;
}

/** Returns whether the target has run the request and sent some answer. */
function isAnswerOfRun({end}: AttemptResult): boolean {
  return end === ATTEMPT_END.answered || end === ATTEMPT_END.failed;
}

/** Options of {@link raceAttempts}. */
export interface RaceOptions {
  /** Time after which the answer is late, in milliseconds; undefined for no second attempt. */
  readonly lateAfterMs: number | undefined;
  /** Sends the second attempt; returns undefined if it is withheld, and is then called again later. */
  readonly openSecond: () => SentAttempt | undefined;
  /** Called when one of the attempts has ended without an answer, while the other goes on. */
  readonly onFailed: (ended: EndedAttempt) => void;
  /** Called when the other attempt has answered, after this one was cancelled. */
  readonly onOutrun: (cancelled: SentAttempt) => void;
}

/** The attempts of a race. */
export interface AttemptRace {
  /** Ends or resumes all of them. */
  readonly attempt: Pick<Attempt, 'cancel' | 'resume'>;
  /** The attempt that decides: the first one that is answered, else the last one that ends. */
  readonly ended: Promise<EndedAttempt>;
}

/** Detail of an attempt that is cancelled since the other one has answered. */
const OUTRUN = 'the attempt beside it has answered';

/** Starts a race with the attempt as its first one. */
export function raceAttempts(
  first: SentAttempt,
  {lateAfterMs, openSecond, onFailed, onOutrun}: RaceOptions,
): AttemptRace {
  const running = new Set<SentAttempt>();
  /** An answer that is better than none. */
  let failed: EndedAttempt | undefined;
  let isOver = false;
  let cancelCheck: () => void = () => undefined;
  const ended = new Promise<EndedAttempt>((resolve, reject) => {
    const decide = (decisive: EndedAttempt) => {
      isOver = true;
      cancelCheck();
      for (const other of running) {
        other.attempt.cancel(OUTRUN);
        onOutrun(other);
      }
      running.clear();
      resolve(decisive);
    };
    const handleEnd = (sent: SentAttempt, result: AttemptResult) => {
      if (isOver) return;
      running.delete(sent);
      const current = {...sent, result, isRecorded: false};
      const isLast = running.size === 0;
      if (isUsableAnswer(result) || (isLast && failed === undefined)) {
        decide(current);
        return;
      }
      onFailed(current);
      if (isLast && failed !== undefined) decide(failed);
      else if (isAnswerOfRun(result)) {
        failed = {...current, isRecorded: true};
      }
    };
    const follow = (sent: SentAttempt) => {
      running.add(sent);
      sent.attempt.result.then(result => handleEnd(sent, result)).catch(reject);
    };
    const check = () => {
      if (isOver) return;
      try {
        const second = openSecond();
        if (second === undefined) scheduleCheck();
        else follow(second);
      } catch (error) {
        reject(error as Error);
      }
    };
    const scheduleCheck = () => {
      if (lateAfterMs === undefined) return;
      const waitMs = Math.max(MIN_CHECK_MS, lateAfterMs);
      cancelCheck = scheduleAfterInput(check, waitMs);
    };
    follow(first);
    scheduleCheck();
  });
  return {
    attempt: {
      cancel: detail => {
        cancelCheck();
        for (const {attempt} of [...running]) attempt.cancel(detail);
      },
      resume: () => {
        for (const {attempt} of running) attempt.resume();
      },
    },
    ended,
  };
}
