/** An entry's questions to one target node about the origins of streams. */
import {
  ORIGIN_STAGE,
  resendDelayMs,
  type Clock,
  type KnownVersions,
  type OriginAnswer,
} from '@balsamnotch/core';
import type {StreamAnswer} from '@balsamnotch/wire';
import {AnswerWait} from './answerwait.js';
import type {ServiceVersions} from '../node/serviceversions.js';

/** Longest wait for the answer of a target node, in milliseconds. */
export const ORIGIN_WAIT_MS = 200;

/** What this entry knows of the versions of services. */
export type OwnVersions = Pick<
  ServiceVersions,
  'known' | 'windowMs' | 'statements'
>;

/** Versions of an entry that does not know the list of servers. */
export const NO_VERSIONS: OwnVersions = {
  known: () => ({kind: 'unsure'}),
  windowMs: () => Infinity,
  statements: () => [],
};

/** Questions to one target node. */
export interface OriginQuestions {
  /**
   * Asks for the origin of a stream. Resolves to undefined without an answer within
   * {@link ORIGIN_WAIT_MS}; never rejects.
   */
  readonly ask: (
    stream: string,
    service: string,
  ) => Promise<OriginAnswer | undefined>;
  /** Handles answers of the node. */
  readonly handleAnswers: (answers: readonly StreamAnswer[]) => void;
  /** Ends all waiting questions without an answer. */
  readonly abandon: () => void;
}

/** Options of {@link openOriginQuestions}. */
export interface OriginQuestionsOptions {
  readonly clock: Clock;
  /** See {@link versionsOf}. */
  readonly versions: OwnVersions;
  /** Sends a question to the node. */
  readonly send: (stream: string, service: string) => void;
}

/** A question without an answer. */
interface WaitingQuestion {
  readonly service: string;
  /** Monotonic time of the first send, in milliseconds. */
  readonly askedAtMs: number;
  readonly answer: Promise<OriginAnswer | undefined>;
  readonly resolve: (answer: OriginAnswer | undefined) => void;
}

/**
 * Returns what a node's answer says of the versions of a service over the whole window until now.
 * The node knows them until some time ago, so that a single version must also be the only one that
 * this entry has seen since then. `elapsedMs` is the time since the question.
 */
function versionsOf(
  answer: StreamAnswer,
  service: string,
  elapsedMs: number,
  own: OwnVersions,
): KnownVersions {
  if (answer.hasSeveral) return {kind: 'several'};
  if (!answer.hasOnly) return {kind: 'unsure'};
  const ageMs = answer.versionsAgeMs + elapsedMs;
  if (answer.versionsAgeMs + answer.versionsWindowMs < own.windowMs()) {
    return {kind: 'unsure'};
  }
  const since = own.known(service, ageMs);
  if (since.kind !== 'only') return since;
  return since.softwareVersion === answer.onlyVersion
    ? since
    : {kind: 'several'};
}

/** Opens the questions to a target node. */
export function openOriginQuestions({
  clock,
  versions,
  send,
}: OriginQuestionsOptions): OriginQuestions {
  /** By key of the stream. */
  const waiting = new Map<string, WaitingQuestion>();
  const ask = (
    stream: string,
    service: string,
  ): Promise<OriginAnswer | undefined> => {
    const earlier = waiting.get(stream);
    if (earlier !== undefined) return earlier.answer;
    const askedAtMs = clock.monotonicMs();
    let sends = 0;
    const wait = new AnswerWait();
    let resolve: WaitingQuestion['resolve'] = () => undefined;
    const answer = new Promise<OriginAnswer | undefined>(
      settle => (resolve = settle),
    ).finally(() => wait.cancel());
    const sendOrEnd = () => {
      const remainingMs = ORIGIN_WAIT_MS - wait.silentMs;
      if (remainingMs <= 0) {
        waiting.delete(stream);
        resolve(undefined);
        return;
      }
      send(stream, service);
      sends += 1;
      wait.start(Math.min(remainingMs, resendDelayMs(sends)), sendOrEnd);
    };
    waiting.set(stream, {service, askedAtMs, answer, resolve});
    sendOrEnd();
    return answer;
  };
  return {
    ask,
    handleAnswers: answers => {
      for (const answer of answers) {
        const question = waiting.get(answer.stream);
        if (question === undefined) continue;
        waiting.delete(answer.stream);
        const {service, askedAtMs} = question;
        const elapsedMs = clock.monotonicMs() - askedAtMs;
        const {softwareVersion, hasBegun} = answer;
        const {begun, granted} = ORIGIN_STAGE;
        const origin = {softwareVersion, stage: hasBegun ? begun : granted};
        question.resolve({
          ...(answer.hasOrigin && {origin}),
          versions: versionsOf(answer, service, elapsedMs, versions),
        });
      }
    },
    abandon: () => {
      for (const {resolve} of waiting.values()) resolve(undefined);
      waiting.clear();
    },
  };
}
