/** Report of this node, sent on each answer. */
import {
  adapterKey,
  holds,
  type LoadedAdapter,
  type TargetReport,
} from '@balsamnotch/core';
import type {NodeContext} from '../node/context.js';
import type {CallController} from './calls.js';
import type {ChatController} from './chats.js';
import type {Drain} from './drain.js';
import type {EngineController} from './engine.js';
import type {TargetLimits} from './systems.js';

/** Parts that a report tells about. */
export interface ReportParts {
  readonly context: NodeContext;
  readonly drain: Drain;
  readonly limits: TargetLimits;
  readonly controller?: EngineController;
  readonly chats?: ChatController;
  readonly calls?: CallController;
}

/**
 * Adapters that are loaded, being loaded or waited for, with their use. An entry
 * that knows what a target waits for sends more requests to the same load.
 */
function heldAdapters(
  controller: EngineController,
  chats: ChatController,
): readonly LoadedAdapter[] {
  const table = controller.table;
  if (table === undefined) return [];
  const use = new Map(chats.demands().map(each => [adapterKey(each), each]));
  const waited = chats.demands().filter(each => !holds(table, each));
  return [...table.slots, ...table.loading, ...waited].map(held => {
    const {adapter, version} = held;
    const {active = 0, queued = 0} = use.get(adapterKey(held)) ?? {};
    return {adapter, version, active, queued};
  });
}

/** Adapter versions that requests wait for, and loads in progress. */
function loadsPending(
  controller: EngineController,
  chats: ChatController,
): number {
  const loading = controller.table?.loading ?? [];
  const keys = new Set(loading.map(adapterKey));
  chats
    .demands()
    .filter(demand => demand.queued > 0 && !controller.isLoaded(demand))
    .forEach(demand => keys.add(adapterKey(demand)));
  return keys.size;
}

/** The report of this moment. */
export function targetReport(parts: ReportParts): TargetReport {
  const {context, drain, controller, chats, calls, limits} = parts;
  const beside = controller && chats ? {controller, chats} : undefined;
  const work = chats ?? calls;
  return {
    node: context.settings.name,
    incarnation: context.incarnation,
    engineIncarnation: controller?.incarnation ?? '',
    nodeClockMs: context.clock.monotonicMs(),
    revision: context.configuration.revision(),
    state: drain.state(),
    queued: work?.queued ?? 0,
    active: work?.active ?? 0,
    batchSize: controller ? controller.batchSize : limits.callsAtOnce,
    slots: controller?.table?.capacity ?? 0,
    loaded: beside ? heldAdapters(beside.controller, beside.chats) : [],
    loadsPending: beside ? loadsPending(beside.controller, beside.chats) : 0,
    serviceMs: work?.serviceMs ?? 0,
  };
}
