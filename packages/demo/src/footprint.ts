/** Memory and processor time of idle nodes against the number of adapters: `npm run footprint`. */
import {spawn} from 'node:child_process';
import {readFileSync, rmSync, writeFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {startDeployment} from './deployment.js';
import type {NodeHandle} from './node.js';

const ADAPTERS = [3_000, 50_000, 150_000];
const SETTLE_MS = 8_000;
const WINDOW_MS = 15_000;
/** Clock ticks of processor time a second in /proc. */
const TICKS_PER_SECOND = 100;

function residentMB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kB = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return Number(kB) / 1_024;
}

function processorMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .replace(/^.*\) /, '')
    .split(' ');
  // User and system time stand 12th and 13th after the command.
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

function questionnaire(adapters: number): string {
  const example = {
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
      {prefix: 'style-', count: adapters, group: 'styles', versions: ['v1']},
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
  return JSON.stringify(example);
}

async function emptyProcessMB(): Promise<number> {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  await sleep(1_000);
  const mb = residentMB(child.pid ?? 0);
  child.kill();
  return mb;
}

async function measure(adapters: number, directory: string): Promise<void> {
  const file = join(directory, `${adapters}.json`);
  writeFileSync(file, questionnaire(adapters));
  const deployment = await startDeployment({questionnaire: file, entries: 1});
  try {
    await sleep(SETTLE_MS);
    const nodes: readonly NodeHandle[] = [
      ...deployment.entries,
      ...deployment.targets,
    ];
    const before = nodes.map(node => processorMs(node.process().pid));
    await sleep(WINDOW_MS);
    nodes.forEach((node, i) => {
      const {pid} = node.process();
      const usedMs = processorMs(pid) - (before[i] ?? 0);
      const percent = ((100 * usedMs) / WINDOW_MS).toFixed(2);
      const mb = residentMB(pid).toFixed(0);
      console.log(
        `${adapters} adapters  ${node.name}  ${mb} MB resident  ${percent} % of a core idle`,
      );
    });
  } finally {
    await deployment.close();
  }
}

const directory = mkdtempSync(join(tmpdir(), 'balsamnotch-footprint-'));
try {
  console.log(`empty process  ${(await emptyProcessMB()).toFixed(0)} MB`);
  for (const adapters of ADAPTERS) await measure(adapters, directory);
} finally {
  rmSync(directory, {recursive: true});
}
