/** Chooses the target of one request, and holds the lease on its adapter. */
import {
  ADAPTER_STATE,
  rankEngines,
  rankPlain,
  type PlacementCandidate,
  type RoutedService,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';
import {modelAdapterKey} from '../node/directory.js';
import {LEASE_LOST, type Lease} from './hold.js';
import type {CallerHeaders} from './protocol.js';
import type {NeededAdapter, TargetState, Targets} from './targets.js';

/** Longest wait for an adapter at one target, in milliseconds: six loads one after another. */
const MAX_LEASE_WAIT_MS = 1_500;

/** What a choice depends on. */
export interface ChoiceRequest {
  readonly caller: CallerHeaders;
  readonly service: RoutedService;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: () => number;
  /** The request needs no target any more. */
  readonly isOver: () => boolean;
}

/** Chooser of one request. */
export class TargetChooser {
  private lease: Lease | undefined;
  /** Reason of the last refused lease; empty without one. */
  lastRefusal = '';

  constructor(
    private readonly context: GatewayContext,
    private readonly targets: Targets,
    private readonly request: ChoiceRequest,
  ) {}

  /** Ends the lease, also while it waits. */
  release(): void {
    this.lease?.release();
    this.lease = undefined;
  }

  /** Adapter that the request needs now; undefined at a plain service. */
  neededAdapter(): NeededAdapter | undefined {
    const {service, caller} = this.request;
    if (service.engine === undefined) return undefined;
    const {model, adapter} = caller;
    const {adapterVersions} = this.context.directory.current();
    const version = adapterVersions.get(modelAdapterKey(model, adapter)) ?? 0;
    return {model, adapter, version};
  }

  /** The first target outside `excluded` at which the adapter is, or becomes, available. */
  async choose(
    excluded: ReadonlySet<string>,
  ): Promise<TargetState | undefined> {
    const {service, isOver} = this.request;
    const needed = this.neededAdapter();
    const refusedBy = new Set(excluded);
    while (!isOver()) {
      const candidates = this.targets.candidates(service, needed, refusedBy);
      const first = this.rank(candidates, needed)[0];
      const target = first && this.targets.get(first.id);
      if (first === undefined || target === undefined) return undefined;
      if (needed === undefined) return target;
      const isLoaded = first.adapter === ADAPTER_STATE.loaded;
      if (await this.acquire(target, needed, isLoaded)) return target;
      refusedBy.add(first.id);
    }
    return undefined;
  }

  private rank(
    candidates: readonly PlacementCandidate[],
    needed: NeededAdapter | undefined,
  ): readonly PlacementCandidate[] {
    const nowMs = this.context.clock.monotonicMs();
    if (needed === undefined) {
      return rankPlain(candidates, nowMs, this.context.random);
    }
    const key = modelAdapterKey(needed.model, needed.adapter);
    return rankEngines(key, candidates, nowMs);
  }

  /**
   * Asks the target node for the adapter. A loaded adapter is not waited for;
   * the lease keeps it from being evicted.
   */
  private async acquire(
    target: TargetState,
    needed: NeededAdapter,
    isLoaded: boolean,
  ): Promise<boolean> {
    const {clock, metrics, log} = this.context;
    const {caller, remainingMs} = this.request;
    const lease = this.targets.streamOf(target)?.acquire({
      ...needed,
      requestId: caller.requestId,
      waitMs: Math.min(MAX_LEASE_WAIT_MS, remainingMs()),
    });
    this.lease = lease;
    if (isLoaded) return true;
    const startedAtMs = clock.monotonicMs();
    const refusal = (await lease?.answer) ?? LEASE_LOST;
    const waitedMs = clock.monotonicMs() - startedAtMs;
    metrics.timing('adapter_wait', waitedMs);
    if (refusal === '') return true;
    this.release();
    this.lastRefusal = refusal;
    log.info('lease_refused', {
      request: caller.requestId,
      target: target.entry.target.id,
      reason: refusal,
      waited_ms: Math.round(waitedMs),
    });
    return false;
  }
}
