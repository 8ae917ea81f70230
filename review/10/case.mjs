/** Case 10: a part of prompts that crashes servers, in prompts that the entry does not read to their end. */
import {fileURLToPath} from 'node:url';
import {startEngine} from '../standins-2/engine.mjs';
import {LLM_SERVICE, sendStream} from '../standins-2/llm.mjs';
import {
  BOUNDS,
  IS_CALM,
  configuration,
  pause,
  route,
  runCase,
  statusOf,
  until,
} from '../standins-2/site.mjs';
import {startStore} from '../standins-2/store.mjs';

const ENGINES = 6;

/** Sound streams a second, and time between two requests with the harmful part, in milliseconds. */
const SOUND_PER_S = 60;
const HARMFUL_EVERY_MS = 700;

/** Time with sound streams alone, and then with the others, in milliseconds. */
const WARM_UP_MS = 8_000;
const PLAY_MS = 35_000;

/** `CONTROL=1` has the harmful part among the first ones, where it is found: not a part of the case. */
const IS_CONTROL = process.env.CONTROL === '1';

/** Shared parts before the harmful one. */
const PARTS_BEFORE = IS_CONTROL ? 1 : 17;

const HARMFUL_PART = 'bad0cafe';
const FIRST_PART = '5c1e07a2:93';

let lastNumber = 0;
const hex = prefix => {
  lastNumber += 1;
  return prefix + lastNumber.toString(16).padStart(8 - prefix.length, '0');
};

/** Returns a conversation: shared parts, the harmful one if given, and the own part of its session. */
function prefixOf(harmful) {
  const count = harmful === undefined ? PARTS_BEFORE + 1 : PARTS_BEFORE;
  const shared = Array.from(
    {length: count - 1},
    (_, n) =>
      `${(0x91bd0000 + 64 * n + Math.floor(Math.random() * 20)).toString(16)}:31`,
  );
  return [
    FIRST_PART,
    ...shared,
    ...(harmful === undefined ? [] : [`${harmful}:31`]),
    `${hex('e4')}:250`,
  ].join(',');
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async site => {
  const {ip, record} = site;
  const store = await startStore(ip(1));
  store.put(
    'op/config',
    configuration(
      1,
      [route('chat', 'streaming', 'asistente-ia')],
      [LLM_SERVICE],
    ),
  );
  const crashes = [];
  const arrivals = [];
  const isHarmful = headers =>
    headers['balsamnotch-prompt-prefix'].includes(HARMFUL_PART);
  for (let n = 1; n <= ENGINES; n++) {
    const engine = await startEngine({
      host: ip(20 + n),
      id: `i-${n}`,
      store,
      service: 'asistente-ia',
      crashes: isHarmful,
      onArrival: ({server, id, headers}) => {
        if (!isHarmful(headers)) return;
        arrivals.push(performance.now());
        record(`request ${id} with the harmful part reaches server ${server}`);
      },
      onCrash: ({server, id}) => {
        crashes.push(performance.now());
        record(`server ${server} crashes with ${id} (crash ${crashes.length})`);
      },
    });
    await site.start('target', 20 + n, store.address, {
      app: engine.address,
      service: 'asistente-ia',
    });
  }
  const entries = [];
  for (const n of [2, 3]) {
    entries.push(await site.start('entry', n, store.address));
  }
  for (const entry of entries) {
    await until(
      async () => (await statusOf(entry.ready, '/readiness')) === 200,
      'an entry is ready',
    );
  }
  await pause(1_500);
  const sound = {sent: 0, complete: 0};
  let turn = 0;
  const nextEntry = () => entries[(turn += 1) % entries.length].front;
  const sendSound = async () => {
    sound.sent += 1;
    const {status, isComplete} = await sendStream(nextEntry(), {
      id: hex('50'),
      path: '/chat/2f',
      prefix: prefixOf(),
    });
    if (status === 200 && isComplete) sound.complete += 1;
  };
  const soundTimer = setInterval(() => void sendSound(), 1_000 / SOUND_PER_S);
  await pause(WARM_UP_MS);
  record(
    `before the disruption: ${sound.complete} of ${sound.sent} sound streams complete`,
  );
  const before = {...sound};
  let harmfulSent = 0;
  const harmfulTimer = setInterval(async () => {
    if (IS_CALM) return;
    harmfulSent += 1;
    const id = hex('ba');
    const {status} = await sendStream(nextEntry(), {
      id,
      path: '/chat/2f',
      prefix: prefixOf(HARMFUL_PART),
    });
    record(`client gets ${status} for ${id}`);
  }, HARMFUL_EVERY_MS);
  await pause(PLAY_MS);
  clearInterval(harmfulTimer);
  clearInterval(soundTimer);
  await pause(1_000);
  const fifthAtMs = crashes[4] ?? Infinity;
  const late = arrivals.filter(
    atMs => atMs > fifthAtMs + BOUNDS.stable_window_ms,
  );
  record(
    `clients sent ${harmfulSent} requests with the harmful part; servers crashed ${crashes.length} times; ${late.length} such requests reached servers later than ${BOUNDS.stable_window_ms} ms after the fifth crash (3 are allowed)`,
  );
  record(
    `meanwhile ${sound.complete - before.complete} of ${sound.sent - before.sent} sound streams complete`,
  );
  const ended = entries.find(entry => entry.ending() !== undefined);
  if (ended !== undefined) throw new Error('an entry has ended');
  return late.length <= 3;
});
