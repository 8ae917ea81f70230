/** Schemas that settings, configuration and questionnaire share. */
import {isIP} from 'node:net';
import {z} from 'zod';

/** Names are used in URLs and tickets, which allow only these characters. */
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

/** Error message for an invalid name. */
const NAME_RULE = 'must be 1 to 64 characters of A-Z a-z 0-9 . _ -';

/** Names that URL parsers remove from a path. */
const DOT_SEGMENTS = ['.', '..'];

/** Reserved because this path under a service issues tickets. */
const RESERVED_OPERATION_NAME = 'tickets';

/** Highest TCP or UDP port. */
const MAX_PORT = 65_535;

/** Maximum number of versions of one adapter. */
const MAX_VERSIONS = 100;

/** Default of `queueLimit`, the number of requests that may wait at one target. */
export const DEFAULT_QUEUE_LIMIT = 64;

/** A name, for example of an adapter, version, group, service, caller or failure domain. */
export const nameSchema = z
  .string({error: NAME_RULE})
  .regex(NAME_PATTERN, {error: NAME_RULE})
  .refine(text => !DOT_SEGMENTS.includes(text), {
    error: 'must not be . or ..',
  });

/** Returns whether the text is a valid name. */
export function isName(text: string): boolean {
  return nameSchema.safeParse(text).success;
}

/** An integer of at least 1. */
export const countSchema = z
  .int({error: 'must be an integer'})
  .min(1, {error: 'must be at least 1'});

/** A finite number above 0. */
export const positiveNumberSchema = z
  .number({error: 'must be a number'})
  .positive({error: 'must be above 0'});

/** A finite number of at least 0. */
export const nonNegativeNumberSchema = z
  .number({error: 'must be a number'})
  .nonnegative({error: 'must be at least 0'});

/** A positive integer that a JavaScript number represents exactly. */
export const revisionSchema = z
  .int({error: 'revision must be a positive integer'})
  .min(1, {error: 'revision must be a positive integer'});

/** SHA-256 in lower-case hexadecimal. */
export const sha256Schema = z
  .string({error: 'must be 64 digits of lower-case hexadecimal'})
  .regex(/^[0-9a-f]{64}$/, {
    error: 'must be 64 digits of lower-case hexadecimal',
  });

/** Returns whether the text is `ip:port`, with an IPv6 address in brackets. */
export function isAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const [, ipv6, ipv4, port] = match;
  const family = ipv6 === undefined ? 4 : 6;
  return isIP(ipv6 ?? ipv4 ?? '') === family && Number(port) <= MAX_PORT;
}

/** An address `ip:port`. */
export const addressSchema = z
  .string({error: 'must be ip:port'})
  .refine(isAddress, {error: 'must be ip:port'});

/** A TCP or UDP port to send to. */
export const portSchema = z
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

/** A base URL. Parsing removes trailing slashes. */
export const baseURLSchema = z
  .string({error: URL_RULE})
  .refine(isBaseURL, {error: URL_RULE})
  .transform(text => text.replace(/\/+$/, ''));

/** Returns the schema of a list with at least one member. */
export function nonEmptyList<T extends z.ZodType>(member: T) {
  return z
    .array(member, {error: 'must be a list'})
    .min(1, {error: 'must not be empty'});
}

/** Versions of an adapter. */
export const versionsSchema = nonEmptyList(nameSchema).max(MAX_VERSIONS, {
  error: `must have at most ${MAX_VERSIONS} versions`,
});

const operationSchema = z.strictObject({
  name: nameSchema.refine(text => text !== RESERVED_OPERATION_NAME, {
    error: `must not be "${RESERVED_OPERATION_NAME}"`,
  }),
  repeatable: z.boolean({error: 'must be true or false'}),
});

const modelServiceSchema = z.strictObject({
  name: nameSchema,
  kind: z.literal('model'),
  targets: countSchema,
  baseModel: nameSchema,
  operations: z
    .array(operationSchema)
    .max(0, {error: 'a model service has no operations'})
    .default([]),
  queueLimit: countSchema.default(DEFAULT_QUEUE_LIMIT),
});

const plainServiceSchema = z.strictObject({
  name: nameSchema,
  kind: z.literal('plain'),
  targets: countSchema,
  baseModel: z
    .literal('', {error: 'a plain service has no base model'})
    .default(''),
  operations: nonEmptyList(operationSchema),
  queueLimit: countSchema.default(DEFAULT_QUEUE_LIMIT),
});

/** A service of either kind. */
export const serviceSchema = z.discriminatedUnion(
  'kind',
  [modelServiceSchema, plainServiceSchema],
  {error: 'kind must be "model" or "plain"'},
);

/** Limits of the weight store. */
export const weightStoreSchema = z.strictObject({
  loadsPerSecond: positiveNumberSchema,
  burst: countSchema,
  loadMs: positiveNumberSchema,
  maxInFlight: countSchema,
});

/** Fields of callers in both the configuration and the questionnaire. */
export const callerFields = {
  name: nameSchema,
  groups: z.array(nameSchema, {error: 'must be a list'}).default([]),
  services: z.array(nameSchema, {error: 'must be a list'}).default([]),
  requestsPerSecond: positiveNumberSchema,
};
