/** Checks the responses that callers of a soak received against the effects at the targets. */
import {
  completeAnswer,
  type ChatStream,
  type ConfirmationResult,
} from '../caller.js';

/** Description of a broken guarantee, printed in the report. */
export type Violation = string;

/**
 * Maximum time between the deadline and the end of the response, in milliseconds. Covers the longest
 * freeze of the entry plus the start of another one on a busy VM.
 */
const MAX_DELAY_BEYOND_DEADLINE_MS = 8_000;

/** Checks one confirmation against its number of effects at the targets. */
export function findConfirmationViolations(
  {booking, status, outcome, durationMs}: ConfirmationResult,
  effects: number,
  deadlineMs: number,
): readonly Violation[] {
  const violations: Violation[] = [];
  if (effects > 1) violations.push(`${booking} took effect ${effects} times`);
  if (status === 200 && effects === 0) {
    violations.push(`${booking} was answered with 200 but took no effect`);
  }
  if (outcome === 'not_run' && effects > 0) {
    violations.push(`${booking} has outcome not_run but took effect`);
  }
  if (outcome === 'ran' && effects === 0) {
    violations.push(`${booking} has outcome ran but took no effect`);
  }
  if (durationMs > deadlineMs + MAX_DELAY_BEYOND_DEADLINE_MS) {
    violations.push(`${booking} ended after ${Math.round(durationMs)} ms`);
  }
  return violations;
}

/**
 * Checks that the received text is a prefix of the answer to this chat, from the requested adapter
 * and version, and that a stream which ended with `[DONE]` holds the full answer.
 */
export function findStreamViolations(stream: ChatStream): readonly Violation[] {
  const {plan, text, model, done, status} = stream;
  if (status !== 200 || model === '') return [];
  const [adapter = '', version = ''] = model.split('@');
  const name = `${plan.content} with ${plan.adapter}@${plan.version}`;
  if (adapter !== plan.adapter) return [`${name} was answered by ${model}`];
  if (plan.version !== '' && version !== plan.version) {
    return [`${name} was answered by version ${version}`];
  }
  const expected = completeAnswer(plan, version);
  if (!expected.startsWith(text)) return [`${name} got unexpected text`];
  if (done && text !== expected) return [`${name} ended with [DONE] too early`];
  return [];
}
