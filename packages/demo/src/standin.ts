/** Stand-ins as child processes. */
import {fileURLToPath} from 'node:url';
import {
  getControl,
  setControl,
  type StandInReport,
} from '@balsamnotch/standins';
import {startChild, type Child} from './child.js';

const PROGRAM = fileURLToPath(
  new URL('./main.js', import.meta.resolve('@balsamnotch/standins')),
);

/** Kinds of stand-ins. */
export type StandInKind =
  'engine' | 'plain' | 'weights' | 'configsvc' | 'vmlist';

/** A stand-in process with its control route. */
export interface StandInHandle {
  readonly name: string;
  readonly kind: StandInKind;
  /** Base URL of the service. */
  readonly url: string;
  readonly process: Child;
  /** Sets faults and values. */
  set(control: object): Promise<StandInReport>;
  /** Settings and counters of what took effect. */
  report(): Promise<StandInReport>;
}

/** Starts a stand-in. `weights` is the base URL of an engine's weight store. */
export async function startStandInProcess(
  kind: StandInKind,
  name: string,
  control: object = {},
  weights?: string,
): Promise<StandInHandle> {
  const args = [PROGRAM, kind, '--control', JSON.stringify(control)];
  if (weights !== undefined) args.push('--weights', weights);
  const child = await startChild(name, args);
  const controlURL = `http://127.0.0.1:${Number(child.first.controlPort)}`;
  return {
    name,
    kind,
    url: `http://127.0.0.1:${Number(child.first.port)}`,
    process: child,
    set: changes => setControl(controlURL, changes),
    report: () => getControl(controlURL),
  };
}
