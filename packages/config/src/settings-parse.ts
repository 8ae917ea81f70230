/** Parses and checks the settings of one process. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {Configuration} from './configuration.js';
import {parseDocument, schemaFaults} from './document.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {asRecord} from './loose.js';
import {
  addressSchema,
  baseURLSchema,
  countSchema,
  nameSchema,
  portSchema,
} from './schema.js';
import type {Settings} from './settings.js';

/** Default limits of a process. Sizes are in bytes. */
export const DEFAULT_LIMITS = {
  bodyBytes: 1_048_576,
  headerBytes: 16_384,
  requests: 1_024,
  callRecords: 10_000,
} as const;

/** A field of the other role, which must be absent or empty. */
const otherRoleSchema = z
  .literal('', {error: 'is for the other role only'})
  .default('');

const commonFields = {
  name: nameSchema,
  failureDomain: nameSchema,
  listen: addressSchema,
  configService: baseURLSchema,
  vmList: baseURLSchema,
  metrics: z
    .strictObject({
      host: z
        .string()
        .regex(/^[A-Za-z0-9.:-]+$/, {error: 'must be an address or host name'}),
      port: portSchema,
    })
    .optional(),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'], {
      error: 'must be "debug", "info", "warn" or "error"',
    })
    .default('info'),
  limits: z
    .strictObject({
      bodyBytes: countSchema.default(DEFAULT_LIMITS.bodyBytes),
      headerBytes: countSchema.default(DEFAULT_LIMITS.headerBytes),
      requests: countSchema.default(DEFAULT_LIMITS.requests),
      callRecords: countSchema.default(DEFAULT_LIMITS.callRecords),
    })
    .default(DEFAULT_LIMITS),
};

const settingsSchema = z.discriminatedUnion(
  'role',
  [
    z.strictObject({
      ...commonFields,
      role: z.literal('entry'),
      service: otherRoleSchema,
      ordinal: z.literal(-1, {error: 'is for a target only'}).default(-1),
      callerListen: addressSchema,
      engine: otherRoleSchema,
      plain: otherRoleSchema,
    }),
    z.strictObject({
      ...commonFields,
      role: z.literal('target'),
      service: nameSchema,
      ordinal: z
        .int({error: 'must be an integer'})
        .min(0, {error: 'must be 0 or more'}),
      callerListen: otherRoleSchema,
      engine: z.union([baseURLSchema, z.literal('')]).default(''),
      plain: z.union([baseURLSchema, z.literal('')]).default(''),
    }),
  ],
  {error: 'role must be "entry" or "target"'},
);

/** Returns whether a URL is set; an absent one may be written as an empty string. */
function isSet(url: unknown): boolean {
  return url !== undefined && url !== '';
}

/** Checks that a target has exactly one of `engine` and `plain`. */
function engineOrPlainFaults(value: unknown): readonly Fault[] {
  const {role, engine, plain} = asRecord(value);
  if (role !== 'target') return [];
  if (isSet(engine) !== isSet(plain)) return [];
  const message = 'a target needs exactly one of engine and plain';
  return [{path: isSet(plain) ? ['plain'] : [], message}];
}

/** Checks failure domain, service and ordinal against the configuration. */
function deploymentFaults(
  value: unknown,
  configuration: Configuration,
): readonly Fault[] {
  const {
    failureDomain,
    service: serviceName,
    engine,
    role,
    ordinal,
  } = asRecord(value);
  const faults: Fault[] = [];
  if (
    typeof failureDomain === 'string' &&
    !configuration.failureDomains.includes(failureDomain)
  ) {
    const message = `unknown failure domain "${failureDomain}"`;
    faults.push({path: ['failureDomain'], message});
  }
  if (role !== 'target' || typeof serviceName !== 'string') return faults;
  const declaredService = configuration.services.find(
    ({name}) => name === serviceName,
  );
  if (declaredService === undefined) {
    faults.push({
      path: ['service'],
      message: `unknown service "${serviceName}"`,
    });
  } else if ((declaredService.kind === 'model') !== isSet(engine)) {
    const requiredKey = declaredService.kind === 'model' ? 'engine' : 'plain';
    const message = `"${serviceName}" is a ${declaredService.kind} service and needs ${requiredKey}`;
    faults.push({path: ['service'], message});
  } else if (
    typeof ordinal === 'number' &&
    ordinal >= declaredService.targets
  ) {
    const message = `"${serviceName}" has ${declaredService.targets} targets`;
    faults.push({path: ['ordinal'], message});
  }
  return faults;
}

/**
 * Parses and checks the settings of one process. Defaults: `logLevel` is "info",
 * `limits` is {@link DEFAULT_LIMITS}, and no `metrics`. An entry needs
 * `callerListen`; a target needs `service`, `ordinal` and exactly one of `engine`
 * and `plain`. If a configuration is given, it must declare the failure domain, the
 * service and enough targets for the ordinal.
 */
export function parseSettings(
  text: string,
  file: string,
  configuration?: Configuration,
): Result<Settings, readonly Finding[]> {
  const document = parseDocument(text, file);
  if (document.value === undefined) return Err(document.findings);
  const parsed = settingsSchema.safeParse(document.value);
  const faults = [
    ...(parsed.success ? [] : schemaFaults(document.value, parsed.error)),
    ...engineOrPlainFaults(document.value),
    ...(configuration ? deploymentFaults(document.value, configuration) : []),
  ];
  const findings = [...document.findings, ...faults.map(document.locate)];
  if (findings.length > 0 || !parsed.success) {
    return Err(sortFindings(findings));
  }
  return Ok(parsed.data);
}
