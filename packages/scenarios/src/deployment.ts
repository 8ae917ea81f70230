/** Starts the deployment of scenarios and soaks, and reads its state. */
import {fileURLToPath} from 'node:url';
import {readFile} from 'node:fs/promises';
import {
  generateConfiguration,
  parseQuestionnaire,
  type PublishedConfiguration,
  type Questionnaire,
} from '@balsamnotch/config';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
  startDeployment,
  type EntryAccess,
  type Deployment,
} from '@balsamnotch/demo';
import type {Effect} from '@balsamnotch/standins';
import {Node, type StatusResponse} from '@balsamnotch/wire';

const QUESTIONNAIRE_FILE = fileURLToPath(
  new URL('../../deployment.jsonc', import.meta.url),
);

/**
 * Starts the deployment with a relay in front of each target.
 * `engineControl` holds the initial control settings of each engine.
 */
export function startDeploymentWithRelays(
  engineControl: object = {},
): Promise<Deployment> {
  return startDeployment({
    questionnaireFile: QUESTIONNAIRE_FILE,
    hasRelays: true,
    engineControl,
  });
}

/** Address of an entry and the key of the caller `app`. */
export function entryAccess(
  deployment: Deployment,
  entry: string,
): EntryAccess {
  const {callerAddress} = deployment.findNode(entry);
  const key = deployment.callerKeys.get('app') ?? '';
  return {address: callerAddress, key};
}

/** Reads the status of a node. Rejects if it does not respond within 2 s. */
export function readStatus(
  deployment: Deployment,
  nodeName: string,
): Promise<StatusResponse> {
  const {address} = deployment.findNode(nodeName);
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl: `http://${address}`,
  });
  return createClient(Node, transport).status({}, {timeoutMs: 2_000});
}

/** Generates a configuration from the questionnaire with some of its settings overridden. */
export async function generateScenarioConfiguration(
  overrides: (questionnaire: Questionnaire) => Partial<Questionnaire>,
): Promise<PublishedConfiguration> {
  const text = await readFile(QUESTIONNAIRE_FILE, 'utf8');
  const questionnaire = parseQuestionnaire(text, QUESTIONNAIRE_FILE).unwrap();
  return generateConfiguration({...questionnaire, ...overrides(questionnaire)});
}

/** Counts how often each booking was confirmed, over all plain services. */
export async function countEffectsByBooking({
  targets,
}: Deployment): Promise<ReadonlyMap<string, number>> {
  const plainServices = targets.flatMap(({standIn}) =>
    standIn?.kind === 'plain' ? [standIn] : [],
  );
  const reports = await Promise.all(
    plainServices.map(service => service.report()),
  );
  const effects = new Map<string, number>();
  for (const {body} of reports.flatMap(
    report => report['effects'] as Effect[],
  )) {
    const {booking} = JSON.parse(body) as {booking: string};
    effects.set(booking, (effects.get(booking) ?? 0) + 1);
  }
  return effects;
}
