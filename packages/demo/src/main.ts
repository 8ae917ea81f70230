/** Demo: starts the Medellín deployment, sends chats and a confirmation, and prints the results. */
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {expectedAnswer, type StandInReport} from '@balsamnotch/standins';
import {
  chatRequestBody,
  post,
  type EntryAccess,
  type CallerResponse,
} from './caller.js';
import {startDeployment, type Deployment} from './deployment.js';

const QUESTIONNAIRE = fileURLToPath(
  new URL('../../../../examples/medellin/questionnaire.jsonc', import.meta.url),
);

/** Maximum number of tokens per chat. */
const TOKENS_PER_CHAT = 24;
const POPULAR_ADAPTER = 'style-0001';
const POPULAR_CHAT_COUNT = 24;
const RARE_ADAPTERS = [
  'client-0007',
  'client-0430',
  'client-1999',
  'runsheet-0042',
];
/** Current version in the questionnaire by prefix of the adapter name. */
const CURRENT_VERSIONS: ReadonlyArray<readonly [string, string]> = [
  ['style-', 'v2'],
  ['client-', 'v1'],
  ['runsheet-', 'v2'],
];

/** One row of the printed table: a group of requests. */
interface Row {
  readonly label: string;
  readonly sent: number;
  readonly correct: number;
  readonly medianMs: number;
  readonly slowestMs: number;
}

function summarize(
  label: string,
  responses: readonly CallerResponse[],
  isCorrect: (answer: CallerResponse, index: number) => boolean,
): Row {
  const durationsMs = responses
    .map(({durationMs}) => Math.round(durationMs))
    .sort((a, b) => a - b);
  return {
    label,
    sent: responses.length,
    correct: responses.filter(isCorrect).length,
    medianMs: durationsMs[Math.floor(durationsMs.length / 2)] ?? 0,
    slowestMs: durationsMs.at(-1) ?? 0,
  };
}

const currentVersion = (adapter: string) =>
  CURRENT_VERSIONS.find(([prefix]) => adapter.startsWith(prefix))?.[1] ?? '';

/** Picks an entry round-robin, with the key of the caller `artists`, who may use every adapter. */
function entryAccess(deployment: Deployment, index: number): EntryAccess {
  const {entries, callerKeys} = deployment;
  const address = entries[index % entries.length]?.callerAddress ?? '';
  return {address, key: callerKeys.get('artists') ?? ''};
}

/** Sends one chat to each adapter concurrently and checks every response in full. */
async function sendChats(
  deployment: Deployment,
  label: string,
  adapters: readonly string[],
): Promise<Row> {
  const questionText = (n: number) => `${label}, question ${n}`;
  const responses = await Promise.all(
    adapters.map((adapter, n) =>
      post(
        entryAccess(deployment, n),
        '/v1/chat/completions',
        chatRequestBody(adapter, questionText(n), TOKENS_PER_CHAT),
      ),
    ),
  );
  return summarize(label, responses, (answer, n) => {
    if (answer.status !== 200) return false;
    const adapter = adapters[n] ?? '';
    const version = currentVersion(adapter);
    const messages = [{role: 'user', content: questionText(n)}];
    const {model, choices} = JSON.parse(answer.body);
    const expected = expectedAnswer(
      {adapter, version, messages},
      TOKENS_PER_CHAT,
    );
    return (
      model === `${adapter}@${version}` &&
      choices[0].message.content === expected
    );
  });
}

/** Confirms one booking, then repeats the call with its ticket through the other entry. */
async function confirmAndRepeat(
  deployment: Deployment,
): Promise<readonly Row[]> {
  const path = '/v1/services/booking/confirm';
  const booking = {booking: 'b-1', artist: 'Ana', day: '2027-02-13'};
  const first = await post(entryAccess(deployment, 0), path, booking);
  const ticket = first.headers.get('idempotency-key') ?? '';
  const headers = {'idempotency-key': ticket};
  const repeat = await post(entryAccess(deployment, 1), path, booking, headers);
  return [
    summarize('confirmation', [first], ({status}) => status === 200),
    summarize(
      'repeat with its ticket at the other entry',
      [repeat],
      ({status, body}) => status === 200 && body === first.body,
    ),
  ];
}

/** Sums one counter over the reports of stand-ins. */
function sum(reports: readonly StandInReport[], counter: string): number {
  return reports.reduce(
    (total, report) => total + (report.counters[counter] ?? 0),
    0,
  );
}

/** Prints what happened at the stand-ins; returns whether it is as expected. */
async function printEffects(deployment: Deployment): Promise<boolean> {
  const standIns = deployment.targets.flatMap(({standIn}) => standIn ?? []);
  const readReports = (kind: string) =>
    Promise.all(
      standIns.filter(one => one.kind === kind).map(one => one.report()),
    );
  const engines = await readReports('engine');
  const services = await readReports('plain');
  const {counters} = await deployment.weightStore.report();
  const effects = {
    'adapter loads': sum(engines, 'loads'),
    'loads above the limit of the weight store': counters.throttled,
    'evictions of an adapter in use': sum(engines, 'evictedInUse'),
    'mean batch': (
      sum(engines, 'tokens') / Math.max(1, sum(engines, 'batchSteps'))
    ).toFixed(1),
    'bookings that took effect': sum(services, 'effects'),
  };
  for (const [name, value] of Object.entries(effects)) {
    console.log(`${name.padEnd(44)} ${value}`);
  }
  // Loads above the limit do not count as an error: on a busy host, load orders that were sent at
  // intervals can arrive together.
  return sum(engines, 'evictedInUse') === 0 && sum(services, 'effects') === 1;
}

function printRows(rows: readonly Row[]): void {
  console.log(`${'request'.padEnd(44)} sent correct median ms slowest ms`);
  for (const {label, sent, correct, medianMs, slowestMs} of rows) {
    const columns = [
      String(sent).padStart(4),
      String(correct).padStart(7),
      String(medianMs).padStart(9),
      String(slowestMs).padStart(10),
    ];
    console.log(`${label.padEnd(44)} ${columns.join(' ')}`);
  }
}

/** Prints a curl command for the deployment and waits for SIGINT. */
async function keepRunning(deployment: Deployment): Promise<void> {
  const {address, key} = entryAccess(deployment, 0);
  const body = JSON.stringify(
    chatRequestBody(POPULAR_ADAPTER, 'hello', TOKENS_PER_CHAT),
  );
  console.log(
    `\ncurl -s http://${address}/v1/chat/completions -H 'authorization: Bearer ${key}' -d '${body}'\n\nThe deployment runs until Ctrl-C.`,
  );
  await once(process, 'SIGINT');
}

async function main(): Promise<boolean> {
  const startMs = performance.now();
  const deployment = await startDeployment({questionnaireFile: QUESTIONNAIRE});
  try {
    const {entries, targets} = deployment;
    const startSeconds = ((performance.now() - startMs) / 1_000).toFixed(1);
    console.log(
      `${entries.length} entries and ${targets.length} targets ready after ${startSeconds} s\n`,
    );
    const popularAdapters = Array.from(
      {length: POPULAR_CHAT_COUNT},
      () => POPULAR_ADAPTER,
    );
    const rows = [
      await sendChats(deployment, 'first chat to the popular adapter', [
        POPULAR_ADAPTER,
      ]),
      await sendChats(
        deployment,
        'chats to the popular adapter',
        popularAdapters,
      ),
      await sendChats(deployment, 'chats to rare adapters', RARE_ADAPTERS),
      ...(await confirmAndRepeat(deployment)),
    ];
    printRows(rows);
    console.log('');
    const isExpected = await printEffects(deployment);
    if (process.argv.includes('--keep')) await keepRunning(deployment);
    return isExpected && rows.every(({sent, correct}) => sent === correct);
  } finally {
    await deployment.close();
  }
}

if (!(await main())) process.exitCode = 1;
