/** Leases of entries on the adapters of one engine. */
import {modelAdapterKey} from '../node/directory.js';
import type {AdapterDemand} from './plan.js';

/** Lease that an entry asks for. */
export interface LeaseRequest {
  readonly requestId: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /** Monotonic time until which the request can wait. */
  readonly waitsUntilMs: number;
  readonly askedAtMs: number;
  /** Called once with an empty reason when granted, else with the reason. */
  readonly answer: (reason: string) => void;
}

/** A lease that is waiting or granted. */
export interface HeldLease {
  readonly release: () => void;
}

interface Entry {
  readonly request: LeaseRequest;
  isGranted: boolean;
}

/** Answer when the adapter did not come in time. */
export const LEASE_TIMEOUT = 'adapter_not_in_time';

/** Leases of one target node. */
export class Leases {
  private readonly byAdapter = new Map<string, Set<Entry>>();

  /** Adds a lease; it waits until {@link settle} finds its adapter. */
  add(request: LeaseRequest): HeldLease {
    const key = modelAdapterKey(request.model, request.adapter);
    const entry: Entry = {request, isGranted: false};
    const entries = this.byAdapter.get(key) ?? new Set();
    this.byAdapter.set(key, entries.add(entry));
    return {release: () => this.remove(key, entry)};
  }

  private remove(key: string, entry: Entry): void {
    const entries = this.byAdapter.get(key);
    entries?.delete(entry);
    if (entries?.size === 0) this.byAdapter.delete(key);
  }

  /** Grants the leases whose adapter is held, and refuses those that waited too long. */
  settle(
    holds: (model: string, adapter: string, version: number) => boolean,
    nowMs: number,
  ): void {
    for (const [key, entries] of this.byAdapter) {
      for (const entry of [...entries]) {
        const {model, adapter, version, waitsUntilMs} = entry.request;
        if (entry.isGranted) continue;
        if (holds(model, adapter, version)) {
          entry.isGranted = true;
          entry.request.answer('');
        } else if (nowMs >= waitsUntilMs) {
          this.remove(key, entry);
          entry.request.answer(LEASE_TIMEOUT);
        }
      }
    }
  }

  /** Refuses all leases that wait. */
  refuseWaiting(reason: string): void {
    for (const [key, entries] of this.byAdapter) {
      for (const entry of [...entries]) {
        if (entry.isGranted) continue;
        this.remove(key, entry);
        entry.request.answer(reason);
      }
    }
  }

  /** Demand by adapter. */
  demands(): readonly AdapterDemand[] {
    return [...this.byAdapter.values()].map(entries => {
      const all = [...entries];
      const waiting = all.filter(({isGranted}) => !isGranted);
      const {model, adapter} = (all[0] as Entry).request;
      return {
        model,
        adapter,
        version: Math.max(...all.map(({request}) => request.version)),
        leases: all.length,
        waiting: waiting.length,
        sinceMs: Math.min(...waiting.map(({request}) => request.askedAtMs)),
      };
    });
  }

  /** Tells whether a request waits for an adapter. */
  hasWaiting(): boolean {
    for (const entries of this.byAdapter.values()) {
      for (const {isGranted} of entries) if (!isGranted) return true;
    }
    return false;
  }
}
