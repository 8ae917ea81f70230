/** Builds the report of this node, which answers to other nodes carry. */
import {
  adapterKey,
  isLoadedOrLoading,
  type LoadedAdapter,
  type TargetReport,
} from '@balsamnotch/core';
import type {NodeContext} from '../node/context.js';
import type {CallController} from './calls.js';
import type {ChatController} from './chats.js';
import type {Drain} from './drain.js';
import type {EngineController} from './engine.js';
import type {TargetLimits} from './systems.js';

/** Sources of the values in a report. */
export interface ReportParts {
  readonly context: NodeContext;
  readonly drain: Drain;
  readonly limits: TargetLimits;
  readonly controller?: EngineController;
  readonly chats?: ChatController;
  readonly calls?: CallController;
}

/**
 * Adapters that are loaded, being loaded or waited for, with the number of
 * requests that use them. Entries route further requests for an adapter to a
 * target that already waits for its load.
 */
function heldAdapters(
  controller: EngineController,
  chats: ChatController,
): readonly LoadedAdapter[] {
  const table = controller.table;
  if (table === undefined) return [];
  const demandByKey = new Map(
    chats.demands().map(each => [adapterKey(each), each]),
  );
  const waitedFor = chats
    .demands()
    .filter(each => !isLoadedOrLoading(table, each));
  return [...table.slots, ...table.loading, ...waitedFor].map(held => {
    const {adapter, version} = held;
    const {active = 0, queued = 0} = demandByKey.get(adapterKey(held)) ?? {};
    return {adapter, version, active, queued};
  });
}

/** Number of adapter versions that are being loaded or that queued requests wait for. */
function loadsPending(
  controller: EngineController,
  chats: ChatController,
): number {
  const loading = controller.table?.loading ?? [];
  const pendingKeys = new Set(loading.map(adapterKey));
  chats
    .demands()
    .filter(demand => demand.queued > 0 && !controller.isLoaded(demand))
    .forEach(demand => pendingKeys.add(adapterKey(demand)));
  return pendingKeys.size;
}

/** Creates the current report of this node. */
export function targetReport(parts: ReportParts): TargetReport {
  const {context, drain, controller, chats, calls, limits} = parts;
  const modelParts = controller && chats ? {controller, chats} : undefined;
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
    batchSize: controller ? controller.batchSize : limits.maxConcurrentCalls,
    slots: controller?.table?.capacity ?? 0,
    loaded: modelParts
      ? heldAdapters(modelParts.controller, modelParts.chats)
      : [],
    loadsPending: modelParts
      ? loadsPending(modelParts.controller, modelParts.chats)
      : 0,
    serviceMs: work?.serviceMs ?? 0,
  };
}
