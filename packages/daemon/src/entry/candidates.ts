/** Targets that a request may go to, in the order in which the entry tries them. */
import type {Configuration} from '@balsamnotch/config';
import {
  NODE_STATE,
  routeCandidates,
  type Attempts,
  type RetryReason,
  type TargetStatus,
} from '@balsamnotch/core';
import type {Parts} from './parts.js';
import type {ChatPlan, Plan} from './request.js';

/**
 * Candidates whose outdated reports are renewed before a request is routed.
 * More would send a probe to each target each second from each entry.
 */
const PROBED_CANDIDATES = 3;

/** Shortest wait before a target is tried again, in milliseconds. */
const AGAIN_MIN_MS = 50;

/** Longest wait before a target is tried again, in milliseconds. */
const AGAIN_MAX_MS = 250;

/** Failures that pass with time. */
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

function load({report, sentSince}: TargetStatus): number {
  return (report?.queued ?? 0) + (report?.active ?? 0) + sentSince;
}

/** Targets of a plain service, the least busy first. */
function plainCandidates(
  {targets, context}: Parts,
  service: string,
): readonly string[] {
  return targets
    .usable(service)
    .filter(({report}) => report?.state === NODE_STATE.serving)
    .map(status => ({
      name: status.listed.name,
      load: load(status),
      tie: context.random(),
    }))
    .sort((a, b) => a.load - b.load || a.tie - b.tie)
    .map(({name}) => name);
}

function chatCandidates(
  {targets, context, popularity}: Parts,
  plan: ChatPlan,
  {tolerances, weightStore, services}: Configuration,
): readonly string[] {
  const nowMs = context.clock.monotonicMs();
  const counts = popularity(plan.service.name);
  const views = counts.withShares(targets.views(plan.service.name), nowMs);
  const models = services.filter(({kind}) => kind === 'model');
  const declared = models.reduce((sum, service) => sum + service.targets, 0);
  const part = plan.service.targets / declared;
  return routeCandidates(plan, views, nowMs, {
    tolerances,
    loadMs: weightStore.loadMs,
    loadsPerSecond: weightStore.loadsPerSecond * part,
    frequency: key => counts.frequency(key, nowMs),
    adapterShare: counts.adapterShare(plan, views.length, nowMs),
  }).map(({target}) => target);
}

/**
 * Names of the candidates, the preferred one first. For a request whose first
 * attempt failed, targets that get no new work come last: they are worth a
 * connection when the only other one is the target that just failed.
 */
export function candidatesOf(
  parts: Parts,
  plan: Plan,
  configuration: Configuration,
  hasFailed: boolean = false,
): readonly string[] {
  const names =
    plan.kind === 'chat'
      ? chatCandidates(parts, plan, configuration)
      : plainCandidates(parts, plan.service.name);
  if (!hasFailed) return names;
  return [...names, ...parts.targets.avoided(plan.service.name)];
}

/** Renews outdated reports of the first candidates; returns their names. */
export async function refreshCandidates(
  parts: Parts,
  plan: Plan,
  configuration: Configuration,
): Promise<readonly string[]> {
  const first = candidatesOf(parts, plan, configuration);
  const names = first.slice(0, PROBED_CANDIDATES);
  await parts.targets.refresh(names);
  return names;
}

/**
 * Time to wait before a target is tried again that has just refused or could
 * not be reached, in milliseconds. Another target is tried without waiting.
 */
export function waitBefore(
  {failures, last}: Attempts,
  target: string,
  random: number,
): number {
  const failure = failures.findLast(({target: name}) => name === target);
  if (failure === undefined || !TRANSIENT.includes(failure.reason)) return 0;
  const wanted = last?.retryAfterMs ?? 0;
  const waitMs = Math.min(AGAIN_MAX_MS, Math.max(AGAIN_MIN_MS, wanted));
  return waitMs * (0.5 + random / 2);
}
