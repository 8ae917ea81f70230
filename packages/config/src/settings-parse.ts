/** Reads the settings of one process. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {Configuration} from './configuration.js';
import {parseDocument, schemaFaults} from './document.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {read} from './loose.js';
import {address, baseURL, count, name, port} from './schema.js';
import type {Settings} from './settings.js';

/** Limits of a process whose settings name none. */
export const DEFAULT_LIMITS = {
  bodyBytes: 1_048_576,
  headerBytes: 16_384,
  requests: 1_024,
  callRecords: 10_000,
} as const;

const absent = z.literal('', {error: 'is for the other role only'}).default('');

const common = {
  name,
  failureDomain: name,
  listen: address,
  configService: baseURL,
  vmList: baseURL,
  metrics: z
    .strictObject({
      host: z
        .string()
        .regex(/^[A-Za-z0-9.:-]+$/, {error: 'must be an address or host name'}),
      port,
    })
    .optional(),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'], {
      error: 'must be "debug", "info", "warn" or "error"',
    })
    .default('info'),
  limits: z
    .strictObject({
      bodyBytes: count.default(DEFAULT_LIMITS.bodyBytes),
      headerBytes: count.default(DEFAULT_LIMITS.headerBytes),
      requests: count.default(DEFAULT_LIMITS.requests),
      callRecords: count.default(DEFAULT_LIMITS.callRecords),
    })
    .default(DEFAULT_LIMITS),
};

const settings = z.discriminatedUnion(
  'role',
  [
    z.strictObject({
      ...common,
      role: z.literal('entry'),
      service: absent,
      ordinal: z.literal(-1, {error: 'is for a target only'}).default(-1),
      callerListen: address,
      engine: absent,
      plain: absent,
    }),
    z.strictObject({
      ...common,
      role: z.literal('target'),
      service: name,
      ordinal: z
        .int({error: 'must be an integer'})
        .min(0, {error: 'must be 0 or more'}),
      callerListen: absent,
      engine: z.union([baseURL, z.literal('')]).default(''),
      plain: z.union([baseURL, z.literal('')]).default(''),
    }),
  ],
  {error: 'role must be "entry" or "target"'},
);

/** An absent address may be written as an empty string. */
function isSet(address: unknown): boolean {
  return address !== undefined && address !== '';
}

/** A target has exactly one of `engine` and `plain`. */
function besideFaults(value: unknown): readonly Fault[] {
  const {role, engine, plain} = read(value);
  if (role !== 'target') return [];
  if (isSet(engine) !== isSet(plain)) return [];
  const message = 'a target needs exactly one of engine and plain';
  return [{path: isSet(plain) ? ['plain'] : [], message}];
}

/** Failure domain and service against the configuration of the deployment. */
function deploymentFaults(
  value: unknown,
  configuration: Configuration,
): readonly Fault[] {
  const {failureDomain, service: wanted, engine, role, ordinal} = read(value);
  const faults: Fault[] = [];
  if (
    typeof failureDomain === 'string' &&
    !configuration.failureDomains.includes(failureDomain)
  ) {
    const message = `unknown failure domain "${failureDomain}"`;
    faults.push({path: ['failureDomain'], message});
  }
  if (role !== 'target' || typeof wanted !== 'string') return faults;
  const found = configuration.services.find(({name}) => name === wanted);
  if (found === undefined) {
    faults.push({path: ['service'], message: `unknown service "${wanted}"`});
  } else if ((found.kind === 'model') !== isSet(engine)) {
    const beside = found.kind === 'model' ? 'engine' : 'plain';
    const message = `"${wanted}" is a ${found.kind} service and needs ${beside}`;
    faults.push({path: ['service'], message});
  } else if (typeof ordinal === 'number' && ordinal >= found.targets) {
    const message = `"${wanted}" has ${found.targets} targets`;
    faults.push({path: ['ordinal'], message});
  }
  return faults;
}

/**
 * Parses the settings of one process. Defaults: `logLevel` "info", `limits`
 * {@link DEFAULT_LIMITS}, no `metrics`. An entry needs `callerListen`; a target
 * needs `service`, `ordinal` and one of `engine` and `plain`. With a configuration, the
 * failure domain and the service must be declared there.
 */
export function parseSettings(
  text: string,
  file: string,
  configuration?: Configuration,
): Result<Settings, readonly Finding[]> {
  const document = parseDocument(text, file);
  if (document.value === undefined) return Err(document.findings);
  const parsed = settings.safeParse(document.value);
  const faults = [
    ...(parsed.success ? [] : schemaFaults(document.value, parsed.error)),
    ...besideFaults(document.value),
    ...(configuration ? deploymentFaults(document.value, configuration) : []),
  ];
  const findings = [...document.findings, ...faults.map(document.locate)];
  if (findings.length > 0 || !parsed.success) {
    return Err(sortFindings(findings));
  }
  return Ok(parsed.data);
}
