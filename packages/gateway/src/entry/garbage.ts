/** Collects garbage before the resident memory of the process reaches that of its VM. */
import v8 from 'node:v8';
import vm from 'node:vm';
import {
  isCollectionDue,
  NO_COLLECTION,
  stateAfterCollection,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';

/** Collects the garbage of a process when its memory is short. */
export interface GarbageCollection {
  /** Collects if that is due. Stops the process for some tens of milliseconds then. */
  readonly collectIfDue: () => void;
}

/** Returns the function of V8 that collects garbage, which Node.js hides by default. */
function exposedCollector(): () => void {
  v8.setFlagsFromString('--expose-gc');
  return vm.runInNewContext('gc') as () => void;
}

/** Creates the collection for a VM with so much memory, in bytes; Infinity never collects. */
export function createGarbageCollection(
  {clock, metrics}: Pick<GatewayContext, 'clock' | 'metrics'>,
  memoryBytes: number,
): GarbageCollection {
  if (memoryBytes === Infinity) return {collectIfDue: () => undefined};
  // Created when it is needed first, since a new context costs processor time at the start.
  let collect: (() => void) | undefined;
  let state = NO_COLLECTION;
  return {
    collectIfDue: () => {
      const beforeBytes = process.memoryUsage.rss();
      const nowMs = clock.monotonicMs();
      if (!isCollectionDue(state, beforeBytes, memoryBytes, nowMs)) return;
      collect ??= exposedCollector();
      collect();
      const afterBytes = process.memoryUsage.rss();
      const endMs = clock.monotonicMs();
      state = stateAfterCollection(state, beforeBytes, afterBytes, endMs);
      metrics.count('garbage_collected');
      metrics.timing('garbage_collection', endMs - nowMs);
    },
  };
}
