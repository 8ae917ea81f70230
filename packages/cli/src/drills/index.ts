/** `drill`: lists and runs the drills. */
import {EXIT, type ExitCode} from '../exit.js';
import {formatTable, type Terminal} from '../terminal.js';
import type {Drill, DrillContext} from './drill.js';
import {CONFIGURATION_SERVICE_DOWN, REVISION_SPREAD} from './revisions.js';
import {CANCELLED_STOP, PLANNED_STOP} from './stops.js';

/** All drills, in the order of `drill --list`. */
export const DRILLS: readonly Drill[] = [
  PLANNED_STOP,
  CANCELLED_STOP,
  REVISION_SPREAD,
  CONFIGURATION_SERVICE_DOWN,
];

/** Prints the name, summary and flags of each drill. */
export function listDrills(terminal: Terminal): ExitCode {
  for (const {name, summary, needs} of DRILLS) {
    terminal.out(name);
    terminal.out(`  ${summary}`);
    terminal.out(`  needs ${needs}`);
  }
  return EXIT.ok;
}

/** Runs the drill of the given name and prints the verdict of each check. */
export async function runDrill(
  name: string,
  context: DrillContext,
): Promise<ExitCode> {
  const {terminal} = context;
  const drill = DRILLS.find(candidate => candidate.name === name);
  if (drill === undefined) {
    terminal.err(`unknown drill "${name}"; drill --list prints all`);
    return EXIT.usage;
  }
  const checks = await drill.run(context);
  if (checks.isErr()) {
    terminal.err(`${name} did not run: ${checks.error.message}`);
    return EXIT[checks.error.kind];
  }
  const rows = checks.value.map(({verdict, statement}) => [verdict, statement]);
  formatTable(rows).forEach(line => terminal.out(line));
  const verdicts = checks.value.map(({verdict}) => verdict);
  if (verdicts.includes('failed')) return EXIT.failed;
  return verdicts.includes('not shown') ? EXIT.unreachable : EXIT.ok;
}
