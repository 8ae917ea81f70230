/**
 * Prefill load of an engine. An engine reads prompts between the steps of its running
 * streams, so prompts that start close together delay the next event of each of them.
 */
import {itemsSince, withItem, type TimedItem} from './window.js';

/** Time for which started prompts are remembered, in milliseconds; longer than any gap objective. */
const WINDOW_MS = 2_000;

/** A prompt whose request started at an engine. */
export interface StartedPrompt extends TimedItem {
  readonly tokens: number;
}

/** Adds a prompt and drops those before the window. */
export function withPrompt(
  prompts: readonly StartedPrompt[],
  prompt: StartedPrompt,
): readonly StartedPrompt[] {
  return withItem(prompts, prompt, WINDOW_MS);
}

/** Tokens per millisecond that an engine is assumed to read before any observation. */
export const INITIAL_PREFILL_RATE = 20;

/** Smallest prompt that is observed, in tokens; a short one shows other delays instead. */
const MIN_OBSERVED_TOKENS = 300;

/**
 * Quantile of the observed rates that is estimated. Requests that wait in the engine
 * show lower rates, and prompts whose start the engine has kept show higher ones.
 */
const RATE_QUANTILE = 0.8;

/** Part of the time to the first event that is not prefill, in milliseconds: one step and the network. */
const FIRST_EVENT_OVERHEAD_MS = 8;

/** Relative change of the estimate with one observation. */
const RATE_STEP = 0.1;

/** Returns the estimated prefill rate after an observed time to the first event. */
export function withFirstEvent(
  tokensPerMs: number,
  promptTokens: number,
  firstEventMs: number,
): number {
  const prefillMs = firstEventMs - FIRST_EVENT_OVERHEAD_MS;
  if (promptTokens < MIN_OBSERVED_TOKENS || prefillMs <= 0) {
    return tokensPerMs;
  }
  const isFaster = promptTokens / prefillMs > tokensPerMs;
  const step = RATE_STEP * (isFaster ? RATE_QUANTILE : RATE_QUANTILE - 1);
  return tokensPerMs * (1 + step);
}

/** Share of the gap objective that prefill may take; the rest is for generating tokens. */
const PREFILL_GAP_SHARE = 0.9;

/**
 * Share of the latency objective for which a request is held back at most. The rest is
 * for reading its own prompt. Under overload requests then start late rather than never.
 */
const PACED_OBJECTIVE_SHARE = 0.4;

/** A request that waits to start at an engine. */
export interface PacedRequest {
  readonly promptTokens: number;
  /** Monotonic time of the request, in milliseconds. */
  readonly requestedAtMs: number;
  /** Latency objective of its route, in milliseconds: an answer within it is worth most. */
  readonly objectiveMs: number;
  /** Longest pause between events for which an answer is on time, in milliseconds; 0 for no limit. */
  readonly gapObjectiveMs: number;
}

/** Whether a request may start. */
export const PROMPT_START = {
  /** Its prompt leaves the running streams enough time for their next event. */
  now: 'now',
  /** It is held back until fewer prompts have just started. */
  later: 'later',
  /** It has waited for long enough: the engine gets more prompts than pacing can spread. */
  overdue: 'overdue',
  /** Pacing does not apply: pauses are not limited, or its prompt alone takes longer than one. */
  unpaced: 'unpaced',
} as const;

/** One of the values of {@link PROMPT_START}. */
export type PromptStart = (typeof PROMPT_START)[keyof typeof PROMPT_START];

/**
 * Decides whether a request may start after the prompts in `started`. A prompt that
 * takes longer than a pause by itself is not held back, since the running streams
 * are late in any case.
 */
export function promptStart(
  request: PacedRequest,
  started: readonly StartedPrompt[],
  tokensPerMs: number,
  nowMs: number,
): PromptStart {
  const {promptTokens, requestedAtMs, objectiveMs, gapObjectiveMs} = request;
  if (gapObjectiveMs <= 0) return PROMPT_START.unpaced;
  const maxTokens = PREFILL_GAP_SHARE * gapObjectiveMs * tokensPerMs;
  if (promptTokens > maxTokens) return PROMPT_START.unpaced;
  // Also a request that fits may have waited behind others that were held back.
  if (nowMs - requestedAtMs >= PACED_OBJECTIVE_SHARE * objectiveMs) {
    return PROMPT_START.overdue;
  }
  const recentTokens = itemsSince(started, nowMs - gapObjectiveMs)
    .filter(({tokens}) => tokens <= maxTokens)
    .reduce((sum, {tokens}) => sum + tokens, 0);
  if (recentTokens + promptTokens <= maxTokens) return PROMPT_START.now;
  return PROMPT_START.later;
}

/**
 * Time for which prompts start without pacing after one was overdue, in milliseconds.
 * Under overload, pacing would only add its delay to each request.
 */
export const UNPACED_MS = 1_000;
