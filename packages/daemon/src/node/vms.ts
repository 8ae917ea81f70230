/** Reads the platform's list of VMs again and again, and keeps the last one while it cannot be read. */
import {BehaviorSubject, type Observable} from 'rxjs';
import type {VM, VMList} from '@balsamnotch/systems';
import type {Metrics} from './context.js';

/** Interval between two reads, in milliseconds. */
const READ_INTERVAL_MS = 1_000;

/** Reader of the VM list. */
export interface VMListReader {
  readonly vms$: Observable<readonly VM[]>;
  readonly current: () => readonly VM[];
  readonly close: () => void;
}

/** Starts reading. */
export function readVMs(
  list: VMList,
  metrics: Metrics,
  {intervalMs = READ_INTERVAL_MS}: {readonly intervalMs?: number} = {},
): VMListReader {
  const vms = new BehaviorSubject<readonly VM[]>([]);
  let last = '';
  const read = async () => {
    const result = await list.read();
    if (result.isErr()) {
      metrics.count('vm_list_failed', result.error.kind);
      return;
    }
    const text = JSON.stringify(result.value);
    // An empty answer from a list that had entries is a fault of the list.
    if (text === last || result.value.length === 0) return;
    last = text;
    vms.next(result.value);
  };
  let busy = false;
  const readOnce = () => {
    if (busy) return;
    busy = true;
    void read().finally(() => (busy = false));
  };
  readOnce();
  const timer = setInterval(readOnce, intervalMs);
  return {
    vms$: vms,
    current: () => vms.value,
    close: () => clearInterval(timer),
  };
}
