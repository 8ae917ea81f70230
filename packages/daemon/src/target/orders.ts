/** Tracks this process's orders to its engine until their effect is known. */
import {adapterKey} from '@balsamnotch/core';
import type {EngineOrder} from '@balsamnotch/systems';
import type {LogFields} from '../node/context.js';

/**
 * Outcome of an order as this process sees it. `put_off`: the order was not sent
 * (because of a pause, because the state must be read first, because another
 * process has sent orders, or because the permit became too old during an
 * eviction), or the engine refused its fencing number as too low. Such a refusal
 * also happens when one order of this process overtakes another. `unanswered`: the
 * order may still take effect. `restarted`: the engine restarted before the order
 * was answered.
 */
export type OrderOutcome =
  'done' | 'failed' | 'unanswered' | 'put_off' | 'restarted';

/** Log fields that describe an order. */
export function orderLogFields(order: EngineOrder): LogFields {
  return {kind: order.kind, adapter: adapterKey(order), fence: order.fence};
}

/** An order in progress. */
interface OpenOrder {
  readonly key: string;
  /** Monotonic time after which the order no longer blocks its adapter. */
  readonly blockedUntilMs: number;
}

/**
 * Orders in progress and orders without an answer, by adapter key. Only one order
 * per adapter is in progress at a time, because two could overtake each other.
 * Changes in the engine's state that these orders may have caused do not count
 * as orders of another process. Times are monotonic milliseconds.
 */
export class OpenOrders {
  private readonly running = new Map<number, OpenOrder>();
  /** Adapter keys of unanswered orders, with the time until which each order may take effect. */
  private readonly unanswered = new Map<string, number>();
  private keysDuringRead = new Set<string>();
  private nextId = 0;

  /** `blockMs`: time for which an order without an answer blocks its adapter, in milliseconds. */
  constructor(private readonly blockMs: number) {}

  begin(key: string, nowMs: number): number {
    const id = this.nextId++;
    this.running.set(id, {key, blockedUntilMs: nowMs + this.blockMs});
    this.keysDuringRead.add(key);
    return id;
  }

  /** Ends an order. Without an answer, the order may still take effect. */
  end(id: number, nowMs: number, isAnswered: boolean): void {
    const order = this.running.get(id);
    if (order === undefined) return;
    this.running.delete(id);
    if (isAnswered) this.unanswered.delete(order.key);
    else this.unanswered.set(order.key, nowMs + this.blockMs);
  }

  /** Ends orders that have had no answer for too long, and forgets old unanswered ones. */
  expire(nowMs: number): void {
    for (const [id, order] of this.running) {
      if (nowMs > order.blockedUntilMs) this.end(id, nowMs, false);
    }
    for (const [key, untilMs] of this.unanswered) {
      if (nowMs > untilMs) this.unanswered.delete(key);
    }
  }

  isBusy(key: string): boolean {
    return [...this.running.values()].some(order => order.key === key);
  }

  /** Starts collecting keys for a read of the engine's state. */
  beginRead(): void {
    this.keysDuringRead = new Set(
      [...this.running.values()].map(order => order.key),
    );
  }

  /** Adapter keys of orders that were in progress at any time since the read began. */
  keysSinceReadBegan(): ReadonlySet<string> {
    return this.keysDuringRead;
  }

  unansweredKeys(): ReadonlySet<string> {
    return new Set(this.unanswered.keys());
  }
}
