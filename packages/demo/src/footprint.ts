/**
 * Measures memory and CPU time of idle nodes for several numbers of adapters:
 * `npm run footprint`.
 */
import {spawn} from 'node:child_process';
import {readFileSync, rmSync, writeFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {startDeployment} from './deployment.js';
import type {NodeHandle} from './node.js';

const ADAPTER_COUNTS = [3_000, 50_000, 150_000];
/** Wait between the start of the nodes and the measurement, in milliseconds. */
const SETTLE_MS = 8_000;
/** Duration of the measurement of CPU time, in milliseconds. */
const MEASURE_MS = 15_000;
/** Clock ticks per second in which /proc reports CPU time. */
const TICKS_PER_SECOND = 100;

function readResidentMB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kB = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return Number(kB) / 1_024;
}

function readProcessorMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .replace(/^.*\) /, '')
    .split(' ');
  // User and system time are the 12th and 13th fields after the command name.
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

function questionnaireText(adapterCount: number): string {
  const questionnaire = {
    deployment: 'footprint',
    revision: 1,
    failureDomains: ['one'],
    entries: 1,
    services: [
      {name: 'assistant', kind: 'model', targets: 2, baseModel: 'base'},
      {
        name: 'booking',
        kind: 'plain',
        targets: 1,
        operations: [{name: 'confirm', repeatable: false}],
      },
    ],
    adapters: [
      {
        prefix: 'style-',
        count: adapterCount,
        group: 'styles',
        versions: ['v1'],
      },
    ],
    callers: [
      {
        name: 'app',
        key: 'key-of-app',
        groups: ['styles'],
        services: ['booking'],
        requestsPerSecond: 10,
      },
    ],
    weightStore: {loadsPerSecond: 3, burst: 2, loadMs: 250, maxInFlight: 16},
    tolerances: {priority: 'load_stalls'},
  };
  return JSON.stringify(questionnaire);
}

async function measureEmptyProcessMB(): Promise<number> {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  await sleep(1_000);
  const mb = readResidentMB(child.pid ?? 0);
  child.kill();
  return mb;
}

async function measureNodes(
  adapterCount: number,
  directory: string,
): Promise<void> {
  const file = join(directory, `${adapterCount}.json`);
  writeFileSync(file, questionnaireText(adapterCount));
  const deployment = await startDeployment({
    questionnaireFile: file,
    entryCount: 1,
  });
  try {
    await sleep(SETTLE_MS);
    const nodes: readonly NodeHandle[] = [
      ...deployment.entries,
      ...deployment.targets,
    ];
    const initialTimesMs = nodes.map(node =>
      readProcessorMs(node.process().pid),
    );
    await sleep(MEASURE_MS);
    nodes.forEach((node, i) => {
      const {pid} = node.process();
      const processorTimeMs = readProcessorMs(pid) - (initialTimesMs[i] ?? 0);
      const percent = ((100 * processorTimeMs) / MEASURE_MS).toFixed(2);
      const mb = readResidentMB(pid).toFixed(0);
      console.log(
        `${adapterCount} adapters  ${node.name}  ${mb} MB resident  ${percent} % of a core idle`,
      );
    });
  } finally {
    await deployment.close();
  }
}

const directory = mkdtempSync(join(tmpdir(), 'balsamnotch-footprint-'));
try {
  console.log(
    `empty process  ${(await measureEmptyProcessMB()).toFixed(0)} MB`,
  );
  for (const count of ADAPTER_COUNTS) await measureNodes(count, directory);
} finally {
  rmSync(directory, {recursive: true});
}
