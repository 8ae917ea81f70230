/** Request counts of one entry for one model service, as inputs to routing. */
import {AgedFrequency} from './frequency.js';
import {adapterKey, type AdapterVersion} from './report.js';
import type {TargetView} from './routing.js';

/** Half-life of the count of requests sent to each target, in milliseconds. */
const TARGET_HALF_LIFE_MS = 300_000;

/** Key that counts requests for all adapters. */
const ALL_ADAPTERS = '';

/** Aged request counts by adapter and by target. Times are monotonic milliseconds. */
export class Popularity {
  private readonly adapters = new AgedFrequency();
  private readonly all = new AgedFrequency();
  private readonly targets = new AgedFrequency({
    halfLifeMs: TARGET_HALF_LIFE_MS,
  });

  /** Counts a request that has arrived for an adapter. */
  recordRequest(adapter: AdapterVersion, nowMs: number): void {
    this.adapters.record(adapterKey(adapter), nowMs);
    this.all.record(ALL_ADAPTERS, nowMs);
  }

  /** Counts a request that was sent to a target. */
  recordSend(target: string, nowMs: number): void {
    this.targets.record(target, nowMs);
  }

  /** Returns the aged number of requests for an adapter version, given by its key. */
  frequency(key: string, nowMs: number): number {
    return this.adapters.count(key, nowMs);
  }

  /**
   * Returns the aged number of requests for an adapter, divided by the mean number of requests
   * for all adapters per target. `targets` is the number of targets.
   */
  adapterShare(
    adapter: AdapterVersion,
    targets: number,
    nowMs: number,
  ): number {
    const total = this.all.count(ALL_ADAPTERS, nowMs);
    const count = this.adapters.count(adapterKey(adapter), nowMs);
    return total > 0 ? (count * targets) / total : 0;
  }

  /** Returns the views with `recentShare` set to the requests sent to each target, relative to their mean. */
  withRecentShares(
    views: readonly TargetView[],
    nowMs: number,
  ): readonly TargetView[] {
    const counts = views.map(({name}) => this.targets.count(name, nowMs));
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    return views.map((view, i) => ({
      ...view,
      recentShare: mean > 0 ? (counts[i] ?? 0) / mean : 1,
    }));
  }
}
