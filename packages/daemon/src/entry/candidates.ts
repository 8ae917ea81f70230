/** Selects and orders the targets that a request may be sent to. */
import type {Configuration} from '@balsamnotch/config';
import {
  NODE_STATE,
  routeCandidates,
  type Attempts,
  type RetryReason,
  type TargetStatus,
} from '@balsamnotch/core';
import type {EntryComponents} from './parts.js';
import type {ChatPlan, Plan} from './request.js';

/**
 * Maximum number of candidates whose outdated reports are refreshed before a request
 * is routed. A higher number would make each entry probe every target once per second.
 */
const MAX_PROBED_CANDIDATES = 3;

/** Minimum delay before a target is retried, in milliseconds, before jitter is applied. */
const MIN_RETRY_DELAY_MS = 50;

/** Maximum delay before a target is retried, in milliseconds, before jitter is applied. */
const MAX_RETRY_DELAY_MS = 250;

/** Failures after which a later attempt at the same target may succeed. */
const TRANSIENT: readonly RetryReason[] = [
  'connect_failed',
  'starting',
  'paused',
  'leaving',
  'overloaded',
  'revision_behind',
  'load_failed',
  'engine_failed',
];

function loadOf({report, sentSince}: TargetStatus): number {
  return (report?.queued ?? 0) + (report?.active ?? 0) + sentSince;
}

/** Returns the names of the serving targets of a plain service, least busy first. */
function plainCandidates(
  {targets, context}: EntryComponents,
  service: string,
): readonly string[] {
  return targets
    .usable(service)
    .filter(({report}) => report?.state === NODE_STATE.serving)
    .map(status => ({
      name: status.listed.name,
      load: loadOf(status),
      tieBreaker: context.random(),
    }))
    .sort((a, b) => a.load - b.load || a.tieBreaker - b.tieBreaker)
    .map(({name}) => name);
}

function chatCandidates(
  {targets, context, popularityOf}: EntryComponents,
  plan: ChatPlan,
  {tolerances, weightStore, services}: Configuration,
): readonly string[] {
  const nowMs = context.clock.monotonicMs();
  const popularity = popularityOf(plan.service.name);
  const views = popularity.withRecentShares(
    targets.views(plan.service.name),
    nowMs,
  );
  const models = services.filter(({kind}) => kind === 'model');
  const declaredTargets = models.reduce(
    (sum, service) => sum + service.targets,
    0,
  );
  const serviceFraction = plan.service.targets / declaredTargets;
  return routeCandidates(plan, views, nowMs, {
    tolerances,
    loadMs: weightStore.loadMs,
    loadsPerSecond: weightStore.loadsPerSecond * serviceFraction,
    frequency: key => popularity.frequency(key, nowMs),
    adapterShare: popularity.adapterShare(plan, views.length, nowMs),
  }).map(({target}) => target);
}

/**
 * Returns the names of the candidates in order of preference. After a failed attempt,
 * targets that are currently avoided are appended: connecting to one of them is better
 * than having no alternative to the target that just failed.
 */
export function candidateNames(
  entry: EntryComponents,
  plan: Plan,
  configuration: Configuration,
  hasFailed: boolean = false,
): readonly string[] {
  const names =
    plan.kind === 'chat'
      ? chatCandidates(entry, plan, configuration)
      : plainCandidates(entry, plan.service.name);
  if (!hasFailed) return names;
  return [...names, ...entry.targets.avoided(plan.service.name)];
}

/** Refreshes outdated reports of the preferred candidates and returns their names. */
export async function refreshCandidates(
  entry: EntryComponents,
  plan: Plan,
  configuration: Configuration,
): Promise<readonly string[]> {
  const candidates = candidateNames(entry, plan, configuration);
  const names = candidates.slice(0, MAX_PROBED_CANDIDATES);
  await entry.targets.refresh(names);
  return names;
}

/**
 * Returns the delay before a send to the target, in milliseconds. It is 0 unless the
 * latest failure of this request at the same target was transient.
 * `random` is in [0, 1) and adds jitter: the delay is 50% to 100% of its full length.
 */
export function retryDelayMs(
  {failures, lastRefusal}: Attempts,
  target: string,
  random: number,
): number {
  const failure = failures.findLast(({target: name}) => name === target);
  if (failure === undefined || !TRANSIENT.includes(failure.reason)) return 0;
  const requestedMs = lastRefusal?.retryAfterMs ?? 0;
  const delayMs = Math.min(
    MAX_RETRY_DELAY_MS,
    Math.max(MIN_RETRY_DELAY_MS, requestedMs),
  );
  return delayMs * (0.5 + random / 2);
}
