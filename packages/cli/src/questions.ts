/** Asks the questionnaire at a terminal. */
import {randomBytes} from 'node:crypto';
import {PRIORITY, contentHash, isName} from '@balsamnotch/config';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Terminal} from './terminal.js';

/** Bytes of a generated caller key. */
const KEY_BYTES = 24;

/** Limits of the weight store that are offered as answers. */
const WEIGHT_STORE_DEFAULTS = {
  loadsPerSecond: '3',
  burst: '2',
  loadMs: '250',
  maxInFlight: '16',
} as const;

/** The input ended before all questions were answered. */
export class InputEndedError extends Error {
  override readonly name = 'InputEndedError';
}

/** Reads one answer, or says why it is not one. */
type Reader<T> = (text: string) => Result<T, string>;

const nameAnswer: Reader<string> = text =>
  isName(text)
    ? Ok(text)
    : Err('a name has 1 to 64 characters of A-Z a-z 0-9 . _ -');

const namesAnswer: Reader<readonly string[]> = text => {
  const names = text.split(/[\s,]+/).filter(name => name !== '');
  return names.every(isName)
    ? Ok(names)
    : Err('names have 1 to 64 characters of A-Z a-z 0-9 . _ -');
};

const someNamesAnswer: Reader<readonly string[]> = text =>
  namesAnswer(text).andThen(names =>
    names.length > 0 ? Ok(names) : Err('at least one name is needed'),
  );

const countAnswer: Reader<number> = text =>
  /^[1-9]\d{0,8}$/.test(text)
    ? Ok(Number(text))
    : Err('a whole number of at least 1 is needed');

const numberAnswer: Reader<number> = text =>
  /^\d{1,9}(\.\d{1,6})?$/.test(text) && Number(text) > 0
    ? Ok(Number(text))
    : Err('a number above 0 is needed');

function oneOf<T extends string>(choices: readonly T[]): Reader<T> {
  return text => {
    const choice = choices.find(member => member === text);
    return choice === undefined
      ? Err(`one of ${choices.join(', ')} is needed`)
      : Ok(choice);
  };
}

const yesAnswer: Reader<boolean> = text =>
  oneOf(['yes', 'no'])(text).map(answer => answer === 'yes');

/** Asks until the answer can be read; an empty answer is the preset. */
async function ask<T>(
  terminal: Terminal,
  question: string,
  reader: Reader<T>,
  preset = '',
): Promise<T> {
  const hint = preset === '' ? '' : ` [${preset}]`;
  for (;;) {
    const line = await terminal.ask(`${question}${hint}: `);
    if (line === undefined) throw new InputEndedError('the input ended');
    const answer = reader(line.trim() === '' ? preset : line.trim());
    if (answer.isOk()) return answer.value;
    terminal.err(answer.error);
  }
}

/** Asks for members of a list until there are no more. */
async function askList<T>(
  terminal: Terminal,
  question: string,
  member: () => Promise<T>,
): Promise<readonly T[]> {
  const members: T[] = [];
  while (await ask(terminal, question, yesAnswer, 'no')) {
    members.push(await member());
  }
  return members;
}

async function askOperation(terminal: Terminal) {
  return {
    name: await ask(terminal, '  operation name', nameAnswer),
    repeatable: await ask(
      terminal,
      '  may a call be repeated without harm, yes or no',
      yesAnswer,
    ),
  };
}

async function askService(terminal: Terminal) {
  const common = {
    name: await ask(terminal, 'service name', nameAnswer),
    kind: await ask(
      terminal,
      'kind, model or plain',
      oneOf(['model', 'plain']),
    ),
    targets: await ask(terminal, 'number of targets', countAnswer),
  };
  if (common.kind === 'model') {
    return {
      ...common,
      baseModel: await ask(terminal, 'base model', nameAnswer),
    };
  }
  const first = await askOperation(terminal);
  const more = await askList(terminal, 'another operation, yes or no', () =>
    askOperation(terminal),
  );
  return {...common, operations: [first, ...more]};
}

async function askAdapters(terminal: Terminal, models: readonly string[]) {
  const prefix = await ask(terminal, 'name prefix of the adapters', nameAnswer);
  const common = {
    prefix,
    count: await ask(terminal, 'number of adapters', countAnswer),
    group: await ask(terminal, 'group, for permissions', nameAnswer),
    versions: await ask(terminal, 'versions, oldest first', someNamesAnswer),
  };
  if (models.length < 2) return common;
  return {
    ...common,
    baseModel: await ask(terminal, 'base model', oneOf(models)),
  };
}

/** Asks for a caller and shows its new key; only the hash is kept. */
async function askCaller(terminal: Terminal, entries: number) {
  const name = await ask(terminal, 'caller name', nameAnswer);
  const groups = await ask(terminal, 'adapter groups it may use', namesAnswer);
  const services = await ask(
    terminal,
    'plain services it may call',
    namesAnswer,
  );
  const requestsPerSecond = await ask(
    terminal,
    `requests a second over all entries, at least ${entries}`,
    numberAnswer,
  );
  const key = randomBytes(KEY_BYTES).toString('base64url');
  terminal.out(`key of ${name}, shown only now: ${key}`);
  return {
    name,
    keySha256: contentHash(key),
    groups,
    services,
    requestsPerSecond,
  };
}

async function askWeightStore(terminal: Terminal) {
  const preset = WEIGHT_STORE_DEFAULTS;
  return {
    loadsPerSecond: await ask(
      terminal,
      'weight store: loads a second',
      numberAnswer,
      preset.loadsPerSecond,
    ),
    burst: await ask(
      terminal,
      'weight store: loads at once at full speed',
      countAnswer,
      preset.burst,
    ),
    loadMs: await ask(
      terminal,
      'weight store: milliseconds of one load',
      numberAnswer,
      preset.loadMs,
    ),
    maxInFlight: await ask(
      terminal,
      'weight store: loads in flight before each takes longer',
      countAnswer,
      preset.maxInFlight,
    ),
  };
}

/**
 * Asks all questions and gives the text of a questionnaire. Answers are checked
 * one by one; checks across answers are those of `parseQuestionnaire`.
 * @throws InputEndedError when the input ends early.
 */
export async function askQuestionnaire(terminal: Terminal): Promise<string> {
  const deployment = await ask(terminal, 'name of the deployment', nameAnswer);
  const failureDomains = await ask(
    terminal,
    'failure domains',
    someNamesAnswer,
  );
  const entries = await ask(terminal, 'number of entry VMs', countAnswer);
  const first = await askService(terminal);
  const more = await askList(terminal, 'another service, yes or no', () =>
    askService(terminal),
  );
  const services = [first, ...more];
  const models = services.flatMap(service =>
    'baseModel' in service ? [service.baseModel] : [],
  );
  const adapters = await askList(terminal, 'add adapters, yes or no', () =>
    askAdapters(terminal, [...new Set(models)]),
  );
  const callers = await askList(terminal, 'add a caller, yes or no', () =>
    askCaller(terminal, entries),
  );
  const weightStore = await askWeightStore(terminal);
  const priority = await ask(
    terminal,
    `what matters more: ${Object.values(PRIORITY).join(', ')}`,
    oneOf(Object.values(PRIORITY)),
    PRIORITY.balanced,
  );
  const answers = {
    deployment,
    revision: 1,
    failureDomains,
    entries,
    services,
    adapters,
    callers,
    weightStore,
    tolerances: {priority},
  };
  return `${JSON.stringify(answers, null, 2)}\n`;
}
