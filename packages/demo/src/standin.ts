/** Runs stand-ins for outside systems as child processes. */
import {fileURLToPath} from 'node:url';
import {
  getControl,
  setControl,
  type StandInReport,
} from '@balsamnotch/standins';
import {startChild, type Child} from './child.js';

const PROGRAM_FILE = fileURLToPath(
  new URL('./main.js', import.meta.resolve('@balsamnotch/standins')),
);

/** Kinds of stand-ins. */
export type StandInKind =
  'engine' | 'plain' | 'weights' | 'configsvc' | 'vmlist';

/** A stand-in process and a client of its control route. */
export interface StandInHandle {
  readonly name: string;
  readonly kind: StandInKind;
  /** Base URL of the service that it stands in for. */
  readonly url: string;
  readonly process: Child;
  /**
   * Changes control settings, such as faults and stored values. Rejects if the stand-in refuses
   * them.
   */
  set(control: object): Promise<StandInReport>;
  /** Reads the control settings and the counters. */
  report(): Promise<StandInReport>;
}

/** Starts a stand-in. `weightStoreURL` is the base URL of the weight store that an engine uses. */
export async function startStandInProcess(
  kind: StandInKind,
  name: string,
  control: object = {},
  weightStoreURL?: string,
): Promise<StandInHandle> {
  const args = [PROGRAM_FILE, kind, '--control', JSON.stringify(control)];
  if (weightStoreURL !== undefined) args.push('--weights', weightStoreURL);
  const child = await startChild(name, args);
  const controlURL = `http://127.0.0.1:${Number(child.startMessage.controlPort)}`;
  return {
    name,
    kind,
    url: `http://127.0.0.1:${Number(child.startMessage.port)}`,
    process: child,
    set: changes => setControl(controlURL, changes),
    report: () => getControl(controlURL),
  };
}
