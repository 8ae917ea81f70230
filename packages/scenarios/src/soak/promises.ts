/** What callers of a soak were told, against what the targets saw. */
import {
  wholeAnswer,
  type ReadStream,
  type ToldConfirmation,
} from '../caller.js';

/** A broken promise, in words for the report. */
export type Violation = string;

/** Time beyond the deadline by which a caller must have been answered, in milliseconds: the longest freeze of its entry, and the start of another on a busy VM. */
const LATE_MS = 8_000;

/** Checks one confirmation against its effects at the targets. */
export function confirmationViolations(
  {booking, status, outcome, ms}: ToldConfirmation,
  effects: number,
  deadlineMs: number,
): readonly Violation[] {
  const found: Violation[] = [];
  if (effects > 1) found.push(`${booking} took effect ${effects} times`);
  if (status === 200 && effects === 0) {
    found.push(`${booking} was answered and took no effect`);
  }
  if (outcome === 'not_run' && effects > 0) {
    found.push(`${booking} was told not_run and took effect`);
  }
  if (outcome === 'ran' && effects === 0) {
    found.push(`${booking} was told ran and took no effect`);
  }
  if (ms > deadlineMs + LATE_MS) {
    found.push(`${booking} waited ${Math.round(ms)} ms`);
  }
  return found;
}

/** Checks that a stream holds its own answer, from the start and in order, and that a whole one is complete. */
export function streamViolations(stream: ReadStream): readonly Violation[] {
  const {plan, text, model, done, status} = stream;
  if (status !== 200 || model === '') return [];
  const [adapter = '', version = ''] = model.split('@');
  const name = `${plan.content} with ${plan.adapter}@${plan.version}`;
  if (adapter !== plan.adapter) return [`${name} was answered by ${model}`];
  if (plan.version !== '' && version !== plan.version) {
    return [`${name} was answered by version ${version}`];
  }
  const whole = wholeAnswer(plan, version);
  if (!whole.startsWith(text)) return [`${name} got text of another answer`];
  if (done && text !== whole) return [`${name} ended before it was whole`];
  return [];
}
