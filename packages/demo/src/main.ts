/** Demo: runs the Medellín deployment, sends chats and a confirmation, and prints what happened. */
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {expectedAnswer, type StandInReport} from '@balsamnotch/standins';
import {chatBody, post, type Access, type CallerAnswer} from './caller.js';
import {startDeployment, type Deployment} from './deployment.js';

const QUESTIONNAIRE = fileURLToPath(
  new URL('../../../../examples/medellin/questionnaire.jsonc', import.meta.url),
);

const MAX_TOKENS = 24;
const POPULAR = 'style-0001';
const POPULAR_CHATS = 24;
const RARE = ['client-0007', 'client-0430', 'client-1999', 'runsheet-0042'];
const VERSIONS: ReadonlyArray<readonly [string, string]> = [
  ['style-', 'v2'],
  ['client-', 'v1'],
  ['runsheet-', 'v2'],
];

/** One row of the printed table. */
interface Row {
  readonly what: string;
  readonly sent: number;
  readonly correct: number;
  readonly medianMs: number;
  readonly slowestMs: number;
}

function row(
  what: string,
  answers: readonly CallerAnswer[],
  isCorrect: (answer: CallerAnswer, index: number) => boolean,
): Row {
  const times = answers.map(({ms}) => Math.round(ms)).sort((a, b) => a - b);
  return {
    what,
    sent: answers.length,
    correct: answers.filter(isCorrect).length,
    medianMs: times[Math.floor(times.length / 2)] ?? 0,
    slowestMs: times.at(-1) ?? 0,
  };
}

const versionOf = (adapter: string) =>
  VERSIONS.find(([prefix]) => adapter.startsWith(prefix))?.[1] ?? '';

/** Entries in turn, with the key of the artists, who may use every adapter. */
function accessOf(deployment: Deployment, index: number): Access {
  const {entries, callerKeys} = deployment;
  const address = entries[index % entries.length]?.callerAddress ?? '';
  return {address, key: callerKeys.get('artists') ?? ''};
}

/** Sends one chat to each adapter at the same time and checks every token. */
async function chats(
  deployment: Deployment,
  what: string,
  adapters: readonly string[],
): Promise<Row> {
  const question = (n: number) => `${what}, question ${n}`;
  const answers = await Promise.all(
    adapters.map((adapter, n) =>
      post(
        accessOf(deployment, n),
        '/v1/chat/completions',
        chatBody(adapter, question(n), MAX_TOKENS),
      ),
    ),
  );
  return row(what, answers, (answer, n) => {
    if (answer.status !== 200) return false;
    const adapter = adapters[n] ?? '';
    const version = versionOf(adapter);
    const messages = [{role: 'user', content: question(n)}];
    const {model, choices} = JSON.parse(answer.body);
    const expected = expectedAnswer({adapter, version, messages}, MAX_TOKENS);
    return (
      model === `${adapter}@${version}` &&
      choices[0].message.content === expected
    );
  });
}

/** Confirms one booking, and repeats the call with its ticket at the other entry. */
async function confirmation(deployment: Deployment): Promise<readonly Row[]> {
  const path = '/v1/services/booking/confirm';
  const booking = {booking: 'b-1', artist: 'Ana', day: '2027-02-13'};
  const first = await post(accessOf(deployment, 0), path, booking);
  const ticket = first.headers.get('idempotency-key') ?? '';
  const headers = {'idempotency-key': ticket};
  const again = await post(accessOf(deployment, 1), path, booking, headers);
  return [
    row('confirmation', [first], ({status}) => status === 200),
    row(
      'repeat with its ticket at the other entry',
      [again],
      ({status, body}) => status === 200 && body === first.body,
    ),
  ];
}

/** Sum of one counter over stand-in reports. */
function total(reports: readonly StandInReport[], counter: string): number {
  return reports.reduce((sum, one) => sum + (one.counters[counter] ?? 0), 0);
}

async function printEffects(deployment: Deployment): Promise<boolean> {
  const besides = deployment.targets.flatMap(({beside}) => beside ?? []);
  const reportsOf = (kind: string) =>
    Promise.all(
      besides.filter(one => one.kind === kind).map(one => one.report()),
    );
  const engines = await reportsOf('engine');
  const plains = await reportsOf('plain');
  const {counters} = await deployment.weights.report();
  const effects = {
    'adapter loads': total(engines, 'loads'),
    'loads above the limit of the weight store': counters.throttled,
    'evictions of an adapter in use': total(engines, 'evictedInUse'),
    'mean batch': (
      total(engines, 'tokens') / Math.max(1, total(engines, 'batchSteps'))
    ).toFixed(1),
    'bookings that took effect': total(plains, 'effects'),
  };
  for (const [name, value] of Object.entries(effects)) {
    console.log(`${name.padEnd(44)} ${value}`);
  }
  // Loads above the limit are shown only: on a busy computer, orders that were spaced arrive together.
  return total(engines, 'evictedInUse') === 0 && total(plains, 'effects') === 1;
}

function printRows(rows: readonly Row[]): void {
  console.log(`${'request'.padEnd(44)} sent correct median ms slowest ms`);
  for (const {what, sent, correct, medianMs, slowestMs} of rows) {
    const figures = [
      String(sent).padStart(4),
      String(correct).padStart(7),
      String(medianMs).padStart(9),
      String(slowestMs).padStart(10),
    ];
    console.log(`${what.padEnd(44)} ${figures.join(' ')}`);
  }
}

/** Prints a request that works from a shell, and waits for an interrupt. */
async function keepRunning(deployment: Deployment): Promise<void> {
  const {address, key} = accessOf(deployment, 0);
  const body = JSON.stringify(chatBody(POPULAR, 'hello', MAX_TOKENS));
  console.log(
    `\ncurl -s http://${address}/v1/chat/completions -H 'authorization: Bearer ${key}' -d '${body}'\n\nThe deployment runs until Ctrl-C.`,
  );
  await once(process, 'SIGINT');
}

async function main(): Promise<boolean> {
  const startMs = performance.now();
  const deployment = await startDeployment({questionnaire: QUESTIONNAIRE});
  try {
    const {entries, targets} = deployment;
    const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
    console.log(
      `${entries.length} entries and ${targets.length} targets ready after ${seconds} s\n`,
    );
    const popular = Array.from({length: POPULAR_CHATS}, () => POPULAR);
    const rows = [
      await chats(deployment, 'first chat to the popular adapter', [POPULAR]),
      await chats(deployment, 'chats to the popular adapter', popular),
      await chats(deployment, 'chats to rare adapters', RARE),
      ...(await confirmation(deployment)),
    ];
    printRows(rows);
    console.log('');
    const expectedEffects = await printEffects(deployment);
    if (process.argv.includes('--keep')) await keepRunning(deployment);
    return expectedEffects && rows.every(({sent, correct}) => sent === correct);
  } finally {
    await deployment.close();
  }
}

if (!(await main())) process.exitCode = 1;
