/** Asks the questions of the questionnaire at a terminal. */
import {randomBytes} from 'node:crypto';
import {PRIORITY, contentHash, isName} from '@balsamnotch/config';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Terminal} from './terminal.js';

/** Length of a generated caller key, in bytes. */
const KEY_BYTES = 24;

/** Default answers for the limits of the weight store. */
const WEIGHT_STORE_DEFAULTS = {
  loadsPerSecond: '3',
  burst: '2',
  loadMs: '250',
  maxInFlight: '16',
} as const;

/** Thrown when the input ends before all questions are answered. */
export class InputEndedError extends Error {
  override readonly name = 'InputEndedError';
}

/** Parses one answer, or returns a message that says why it is invalid. */
type AnswerParser<T> = (text: string) => Result<T, string>;

const parseName: AnswerParser<string> = text =>
  isName(text)
    ? Ok(text)
    : Err('a name has 1 to 64 characters of A-Z a-z 0-9 . _ -');

const parseNames: AnswerParser<readonly string[]> = text => {
  const names = text.split(/[\s,]+/).filter(name => name !== '');
  return names.every(isName)
    ? Ok(names)
    : Err('names have 1 to 64 characters of A-Z a-z 0-9 . _ -');
};

const parseNonEmptyNames: AnswerParser<readonly string[]> = text =>
  parseNames(text).andThen(names =>
    names.length > 0 ? Ok(names) : Err('at least one name is needed'),
  );

const parseCount: AnswerParser<number> = text =>
  /^[1-9]\d{0,8}$/.test(text)
    ? Ok(Number(text))
    : Err('a whole number of at least 1 is needed');

const parsePositiveNumber: AnswerParser<number> = text =>
  /^\d{1,9}(\.\d{1,6})?$/.test(text) && Number(text) > 0
    ? Ok(Number(text))
    : Err('a number above 0 is needed');

function choiceParser<T extends string>(
  choices: readonly T[],
): AnswerParser<T> {
  return text => {
    const choice = choices.find(candidate => candidate === text);
    return choice === undefined
      ? Err(`one of ${choices.join(', ')} is needed`)
      : Ok(choice);
  };
}

const parseYesNo: AnswerParser<boolean> = text =>
  choiceParser(['yes', 'no'])(text).map(answer => answer === 'yes');

/** Repeats a question until the answer is valid; an empty line selects the default answer. */
async function ask<T>(
  terminal: Terminal,
  question: string,
  parse: AnswerParser<T>,
  defaultAnswer = '',
): Promise<T> {
  const hint = defaultAnswer === '' ? '' : ` [${defaultAnswer}]`;
  for (;;) {
    const line = await terminal.ask(`${question}${hint}: `);
    if (line === undefined) throw new InputEndedError('the input ended');
    const answer = parse(line.trim() === '' ? defaultAnswer : line.trim());
    if (answer.isOk()) return answer.value;
    terminal.err(answer.error);
  }
}

/** Asks for members of a list until the operator answers `no`. */
async function askList<T>(
  terminal: Terminal,
  question: string,
  askMember: () => Promise<T>,
): Promise<readonly T[]> {
  const members: T[] = [];
  while (await ask(terminal, question, parseYesNo, 'no')) {
    members.push(await askMember());
  }
  return members;
}

async function askOperation(terminal: Terminal) {
  return {
    name: await ask(terminal, '  operation name', parseName),
    repeatable: await ask(
      terminal,
      '  may a call be repeated without harm, yes or no',
      parseYesNo,
    ),
  };
}

async function askService(terminal: Terminal) {
  const common = {
    name: await ask(terminal, 'service name', parseName),
    kind: await ask(
      terminal,
      'kind, model or plain',
      choiceParser(['model', 'plain']),
    ),
    targets: await ask(terminal, 'number of targets', parseCount),
  };
  if (common.kind === 'model') {
    return {
      ...common,
      baseModel: await ask(terminal, 'base model', parseName),
    };
  }
  const firstOperation = await askOperation(terminal);
  const otherOperations = await askList(
    terminal,
    'another operation, yes or no',
    () => askOperation(terminal),
  );
  return {...common, operations: [firstOperation, ...otherOperations]};
}

async function askAdapters(terminal: Terminal, models: readonly string[]) {
  const prefix = await ask(terminal, 'name prefix of the adapters', parseName);
  const common = {
    prefix,
    count: await ask(terminal, 'number of adapters', parseCount),
    group: await ask(terminal, 'group, for permissions', parseName),
    versions: await ask(terminal, 'versions, oldest first', parseNonEmptyNames),
  };
  if (models.length < 2) return common;
  return {
    ...common,
    baseModel: await ask(terminal, 'base model', choiceParser(models)),
  };
}

/** Asks for a caller and prints its generated key; the questionnaire gets only the hash. */
async function askCaller(terminal: Terminal, entries: number) {
  const name = await ask(terminal, 'caller name', parseName);
  const groups = await ask(terminal, 'adapter groups it may use', parseNames);
  const services = await ask(
    terminal,
    'plain services it may call',
    parseNames,
  );
  const requestsPerSecond = await ask(
    terminal,
    `requests a second over all entries, at least ${entries}`,
    parsePositiveNumber,
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
  const defaults = WEIGHT_STORE_DEFAULTS;
  return {
    loadsPerSecond: await ask(
      terminal,
      'weight store: loads a second',
      parsePositiveNumber,
      defaults.loadsPerSecond,
    ),
    burst: await ask(
      terminal,
      'weight store: burst of loads that may start at once',
      parseCount,
      defaults.burst,
    ),
    loadMs: await ask(
      terminal,
      'weight store: milliseconds of one load',
      parsePositiveNumber,
      defaults.loadMs,
    ),
    maxInFlight: await ask(
      terminal,
      'weight store: loads in flight above which each takes longer',
      parseCount,
      defaults.maxInFlight,
    ),
  };
}

/**
 * Asks all questions and returns the text of a questionnaire. Each answer is
 * validated separately; `parseQuestionnaire` checks their consistency.
 * @throws InputEndedError when the input ends early.
 */
export async function askQuestionnaire(terminal: Terminal): Promise<string> {
  const deployment = await ask(terminal, 'name of the deployment', parseName);
  const failureDomains = await ask(
    terminal,
    'failure domains',
    parseNonEmptyNames,
  );
  const entries = await ask(terminal, 'number of entry VMs', parseCount);
  const firstService = await askService(terminal);
  const otherServices = await askList(
    terminal,
    'another service, yes or no',
    () => askService(terminal),
  );
  const services = [firstService, ...otherServices];
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
    choiceParser(Object.values(PRIORITY)),
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
