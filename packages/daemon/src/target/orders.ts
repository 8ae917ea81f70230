/** Orders of this process to its engine whose effect is not settled. */
import {adapterKey} from '@balsamnotch/core';
import type {EngineOrder} from '@balsamnotch/systems';
import type {Fields} from '../node/context.js';

/**
 * How an order ended, as far as this process knows. `put_off`: not given because
 * of a pause, or refused with an old fencing number, which also happens when two
 * orders of this process overtake each other; the state is read before the next.
 */
export type OrderEnd = 'done' | 'failed' | 'unanswered' | 'put_off' | 'restarted';

/** Fields of an order in the log. */
export function fieldsOf(order: EngineOrder): Fields {
  return {kind: order.kind, adapter: adapterKey(order), fence: order.fence};
}

/** An order in progress. */
interface OpenOrder {
  readonly key: string;
  /** Monotonic time after which the order no longer blocks its adapter. */
  readonly untilMs: number;
}

/**
 * Knows which adapters have an order in progress, so that no two orders for one
 * adapter overtake each other, and which differences in the engine's state may
 * be effects of own orders. Times are monotonic milliseconds.
 */
export class OpenOrders {
  private readonly running = new Map<number, OpenOrder>();
  /** Adapters of orders without an answer, with the time until which they may take effect. */
  private readonly unanswered = new Map<string, number>();
  private duringRead = new Set<string>();
  private next = 0;

  /** `holdMs`: time for which an order without an answer blocks its adapter. */
  constructor(private readonly holdMs: number) {}

  begin(key: string, nowMs: number): number {
    const id = this.next++;
    this.running.set(id, {key, untilMs: nowMs + this.holdMs});
    this.duringRead.add(key);
    return id;
  }

  /** Ends an order; without an answer its effect may still come. */
  end(id: number, nowMs: number, answered: boolean): void {
    const order = this.running.get(id);
    if (order === undefined) return;
    this.running.delete(id);
    if (answered) this.unanswered.delete(order.key);
    else this.unanswered.set(order.key, nowMs + this.holdMs);
  }

  /** Gives up waiting for orders that have no answer for too long. */
  expire(nowMs: number): void {
    for (const [id, order] of this.running) {
      if (nowMs > order.untilMs) this.end(id, nowMs, false);
    }
    for (const [key, untilMs] of this.unanswered) {
      if (nowMs > untilMs) this.unanswered.delete(key);
    }
  }

  isBusy(key: string): boolean {
    return [...this.running.values()].some(order => order.key === key);
  }

  /** Called before the engine's state is read. */
  readBegins(): void {
    this.duringRead = new Set(
      [...this.running.values()].map(order => order.key),
    );
  }

  /** Keys of orders that ran at any time since the read began. */
  busyKeys(): ReadonlySet<string> {
    return this.duringRead;
  }

  unansweredKeys(): ReadonlySet<string> {
    return new Set(this.unanswered.keys());
  }
}
