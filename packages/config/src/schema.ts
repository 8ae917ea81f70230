/** Rules that the schemas of settings, configuration and questionnaire share. */
import {isIP} from 'node:net';
import {z} from 'zod';

/** Names are used in URLs and tickets, which allow only these characters. */
const NAME = /^[A-Za-z0-9._-]{1,64}$/;

/** Text of the rule for names, for messages. */
const NAME_RULE = 'must be 1 to 64 characters of A-Z a-z 0-9 . _ -';

/** Names that URL parsers remove from a path. */
const DOT_NAMES = ['.', '..'];

/** The path of an operation with this name is that of issuing tickets. */
const RESERVED_OPERATION = 'tickets';

/** Highest TCP or UDP port. */
const MAX_PORT = 65_535;

/** Most versions of one adapter. */
const MAX_VERSIONS = 100;

/** Requests that may wait at one target unless the service says otherwise. */
export const DEFAULT_QUEUE_LIMIT = 64;

/** A name of an adapter, version, group, service, caller or failure domain. */
export const name = z
  .string({error: NAME_RULE})
  .regex(NAME, {error: NAME_RULE})
  .refine(text => !DOT_NAMES.includes(text), {
    error: 'must not be . or ..',
  });

/** Tells whether the text is a valid name. */
export function isName(text: string): boolean {
  return name.safeParse(text).success;
}

/** An integer of at least 1. */
export const count = z
  .int({error: 'must be an integer'})
  .min(1, {error: 'must be at least 1'});

/** A finite number above 0. */
export const positive = z
  .number({error: 'must be a number'})
  .positive({error: 'must be above 0'});

/** A finite number of at least 0. */
export const notNegative = z
  .number({error: 'must be a number'})
  .nonnegative({error: 'must be at least 0'});

/** A positive integer that fits into a JavaScript number. */
export const revision = z
  .int({error: 'revision must be a positive integer'})
  .min(1, {error: 'revision must be a positive integer'});

/** SHA-256 in lower-case hexadecimal. */
export const sha256 = z
  .string({error: 'must be 64 digits of lower-case hexadecimal'})
  .regex(/^[0-9a-f]{64}$/, {
    error: 'must be 64 digits of lower-case hexadecimal',
  });

/** Tells whether the text is `ip:port`, with IPv6 in brackets. */
export function isAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const [, inBrackets, plain, port] = match;
  const family = inBrackets === undefined ? 4 : 6;
  return isIP(inBrackets ?? plain ?? '') === family && Number(port) <= MAX_PORT;
}

/** An address `ip:port`. */
export const address = z
  .string({error: 'must be ip:port'})
  .refine(isAddress, {error: 'must be ip:port'});

/** A TCP or UDP port to send to. */
export const port = z
  .int({error: 'must be a port'})
  .min(1, {error: 'must be a port'})
  .max(MAX_PORT, {error: 'must be a port'});

function isBaseURL(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  return (
    url.protocol === 'http:' &&
    url.username === '' &&
    url.search === '' &&
    url.hash === ''
  );
}

const URL_RULE = 'must be an http:// URL without user, query or fragment';

/** A base URL; trailing slashes are removed. */
export const baseURL = z
  .string({error: URL_RULE})
  .refine(isBaseURL, {error: URL_RULE})
  .transform(text => text.replace(/\/+$/, ''));

/** A list with at least one member. */
export function nonEmpty<T extends z.ZodType>(member: T) {
  return z
    .array(member, {error: 'must be a list'})
    .min(1, {error: 'must not be empty'});
}

/** Versions of an adapter. */
export const versions = nonEmpty(name).max(MAX_VERSIONS, {
  error: `must have at most ${MAX_VERSIONS} versions`,
});

const operation = z.strictObject({
  name: name.refine(text => text !== RESERVED_OPERATION, {
    error: `must not be "${RESERVED_OPERATION}"`,
  }),
  repeatable: z.boolean({error: 'must be true or false'}),
});

const modelService = z.strictObject({
  name,
  kind: z.literal('model'),
  targets: count,
  baseModel: name,
  operations: z
    .array(operation)
    .max(0, {error: 'a model service has no operations'})
    .default([]),
  queueLimit: count.default(DEFAULT_QUEUE_LIMIT),
});

const plainService = z.strictObject({
  name,
  kind: z.literal('plain'),
  targets: count,
  baseModel: z
    .literal('', {error: 'a plain service has no base model'})
    .default(''),
  operations: nonEmpty(operation),
  queueLimit: count.default(DEFAULT_QUEUE_LIMIT),
});

/** A service of either kind. */
export const service = z.discriminatedUnion(
  'kind',
  [modelService, plainService],
  {error: 'kind must be "model" or "plain"'},
);

/** Limits of the weight store. */
export const weightStore = z.strictObject({
  loadsPerSecond: positive,
  burst: count,
  loadMs: positive,
  maxInFlight: count,
});

/** Keys that callers have in the configuration and in the questionnaire. */
export const callerKeys = {
  name,
  groups: z.array(name, {error: 'must be a list'}).default([]),
  services: z.array(name, {error: 'must be a list'}).default([]),
  requestsPerSecond: positive,
};
