/** What an entry counts of its own requests to one model service, as routing needs it. */
import {AgedFrequency} from './frequency.js';
import {adapterKey, type AdapterVersion} from './report.js';
import type {TargetView} from './routing.js';

/** Half-life of the work that an entry counts for each target, in milliseconds. */
const SHARE_HALF_LIFE_MS = 300_000;

/** Key under which requests for all adapters are counted. */
const ALL = '';

/** Aged counts of requests by adapter and by target; times are monotonic milliseconds. */
export class Popularity {
  private readonly adapters = new AgedFrequency();
  private readonly all = new AgedFrequency();
  private readonly targets = new AgedFrequency({
    halfLifeMs: SHARE_HALF_LIFE_MS,
  });

  /** Counts a request that has arrived. */
  requested(adapter: AdapterVersion, nowMs: number): void {
    this.adapters.record(adapterKey(adapter), nowMs);
    this.all.record(ALL, nowMs);
  }

  /** Counts work that was sent to a target. */
  sent(target: string, nowMs: number): void {
    this.targets.record(target, nowMs);
  }

  /** Aged number of requests for an adapter version, given by its key. */
  frequency(key: string, nowMs: number): number {
    return this.adapters.count(key, nowMs);
  }

  /** Requests for an adapter, relative to the mean of one of `targets` targets. */
  adapterShare(
    adapter: AdapterVersion,
    targets: number,
    nowMs: number,
  ): number {
    const total = this.all.count(ALL, nowMs);
    const own = this.adapters.count(adapterKey(adapter), nowMs);
    return total > 0 ? (own * targets) / total : 0;
  }

  /** Views with the work sent to each target, relative to their mean. */
  withShares(
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
