/** Polls the platform's VM list, and keeps the latest one while the list cannot be read. */
import {BehaviorSubject, type Observable} from 'rxjs';
import type {VM, VMList} from '@balsamnotch/systems';
import type {Metrics} from './context.js';

/** Interval between reads, in milliseconds. */
const POLL_INTERVAL_MS = 1_000;

/** Polls the VM list until it is closed. */
export interface VMListPoller {
  /**
   * VMs from the latest successful read; empty before the first. Emits on subscription
   * and on each change.
   */
  readonly vms$: Observable<readonly VM[]>;
  /** VMs from the latest successful read; empty before the first. */
  readonly current: () => readonly VM[];
  readonly close: () => void;
}

/** Starts polling the VM list, with one read at a time. */
export function pollVMList(
  list: VMList,
  metrics: Metrics,
  {intervalMs = POLL_INTERVAL_MS}: {readonly intervalMs?: number} = {},
): VMListPoller {
  const vms = new BehaviorSubject<readonly VM[]>([]);
  let lastText = '';
  const read = async () => {
    const result = await list.read();
    if (result.isErr()) {
      metrics.count('vm_list_failed', result.error.kind);
      return;
    }
    const text = JSON.stringify(result.value);
    // An empty list is ignored: a list that had VMs becomes empty only through a fault.
    if (text === lastText || result.value.length === 0) return;
    lastText = text;
    vms.next(result.value);
  };
  let isReading = false;
  const readOnce = () => {
    if (isReading) return;
    isReading = true;
    void read().finally(() => (isReading = false));
  };
  readOnce();
  const timer = setInterval(readOnce, intervalMs);
  return {
    vms$: vms,
    current: () => vms.value,
    close: () => clearInterval(timer),
  };
}
