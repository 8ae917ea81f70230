/** Tracks the adapters that an engine held recently, according to its reports. */
import type {HeldModel} from '@balsamnotch/core';
import {dropOldest} from '../node/boundedset.js';
import {modelAdapterKey} from '../node/directorystate.js';

/**
 * Number of adapters assumed to be still in the engine's memory, from which they load
 * faster than from the weight store. The platform's engines keep about 100 in
 * addition to the loaded ones.
 */
const MAX_RECENT_ADAPTERS = 80;

/** Recently held adapters of one engine; the least recently held are dropped first. */
export class RecentAdapters {
  /** In order of the last report that showed the adapter. */
  private readonly keys = new Set<string>();
  private incarnationMs = 0;

  /** Adds the adapters that an engine holds. A new incarnation of the engine starts with empty memory. */
  record({
    incarnationMs,
    models,
  }: {
    readonly incarnationMs: number;
    readonly models: readonly HeldModel[];
  }): void {
    if (incarnationMs !== this.incarnationMs) this.keys.clear();
    this.incarnationMs = incarnationMs;
    for (const {model, adapters} of models) {
      for (const {adapter} of adapters) {
        const key = modelAdapterKey(model, adapter);
        this.keys.delete(key);
        this.keys.add(key);
      }
    }
    dropOldest(this.keys, MAX_RECENT_ADAPTERS);
  }

  /** Returns whether the engine held the adapter recently. */
  has(model: string, adapter: string): boolean {
    return this.keys.has(modelAdapterKey(model, adapter));
  }
}
