/** Reasons for refusals and retries. Each reason has its own counter, tagged with its name. */

/** Whether a refused request ran, as far as is known. */
export const OUTCOME = {
  notRun: 'not_run',
  ran: 'ran',
  unknown: 'unknown',
} as const;

/** One of the values of {@link OUTCOME}. */
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** HTTP status that callers get for each refusal reason. */
export const REFUSAL_STATUS = {
  bad_json: 400,
  bad_request: 400,
  body_too_large: 413,
  header_too_long: 431,
  unauthenticated: 401,
  not_permitted: 403,
  unknown_adapter: 404,
  unknown_version: 404,
  unknown_service: 404,
  unknown_operation: 404,
  not_found: 404,
  caller_limit: 429,
  overloaded: 503,
  deadline_unreachable: 503,
  deadline_exceeded: 504,
  no_target: 503,
  leaving: 503,
  paused: 503,
  starting: 503,
  wrong_incarnation: 503,
  revision_behind: 503,
  load_failed: 503,
  engine_failed: 502,
  wrong_adapter: 502,
  ticket_invalid: 400,
  ticket_expired: 409,
  ticket_reused: 422,
  records_full: 503,
  cancelled: 409,
  outcome_unknown: 504,
  service_failed: 502,
  bad_offset: 400,
  bad_message: 400,
  caller_gone: 499,
} as const;

/** Why a request was refused. */
export type RefusalReason = keyof typeof REFUSAL_STATUS;

/** Reasons for repeating an attempt. */
export const RETRY_REASONS = [
  'leaving',
  'paused',
  'starting',
  'overloaded',
  'wrong_incarnation',
  'revision_behind',
  'connect_failed',
  'silent',
  'stream_broken',
  'engine_failed',
  'load_failed',
  'wrong_adapter',
] as const;

/** One of {@link RETRY_REASONS}. */
export type RetryReason = (typeof RETRY_REASONS)[number];

/** Refusal of a request, with its reason and outcome. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Human-readable text. Programs use reason and outcome. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Time after which a retry may succeed, in milliseconds; 0 when a retry is useless. */
  readonly retryAfterMs: number;
}

/** Creates a refusal. The outcome is `not_run` by default. */
export function refusal(
  reason: RefusalReason,
  message: string,
  {
    outcome = OUTCOME.notRun,
    retryAfterMs = 0,
  }: {outcome?: Outcome; retryAfterMs?: number} = {},
): Refusal {
  return {reason, message, outcome, retryAfterMs};
}

/** Returns whether a name received from another process is a refusal reason of this version. */
export function isRefusalReason(name: string): name is RefusalReason {
  return Object.hasOwn(REFUSAL_STATUS, name);
}
