/** The deployment of scenarios and soaks, and what is read from it. */
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
import {startDeployment, type Access, type Deployment} from '@balsamnotch/demo';
import type {Effect} from '@balsamnotch/standins';
import {Node, type StatusResponse} from '@balsamnotch/wire';

const QUESTIONNAIRE = fileURLToPath(
  new URL('../../deployment.jsonc', import.meta.url),
);

/** Starts the deployment, with relays before the targets. */
export function startRelayed(engine: object = {}): Promise<Deployment> {
  return startDeployment({questionnaire: QUESTIONNAIRE, relays: true, engine});
}

/** An entry with the key of a caller. */
export function accessTo(deployment: Deployment, entry: string): Access {
  const {callerAddress} = deployment.node(entry);
  const key = deployment.callerKeys.get('app') ?? '';
  return {address: callerAddress, key};
}

/** Status of a node. Rejects when it does not answer within 2 s. */
export function statusOf(
  deployment: Deployment,
  name: string,
): Promise<StatusResponse> {
  const {address} = deployment.node(name);
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl: `http://${address}`,
  });
  return createClient(Node, transport).status({}, {timeoutMs: 2_000});
}

/** Configuration with some answers of the questionnaire replaced. */
export async function configurationWith(
  changes: (whole: Questionnaire) => Partial<Questionnaire>,
): Promise<PublishedConfiguration> {
  const text = await readFile(QUESTIONNAIRE, 'utf8');
  const whole = parseQuestionnaire(text, QUESTIONNAIRE).unwrap();
  return generateConfiguration({...whole, ...changes(whole)});
}

/** Effects of confirmations by booking, over all plain services. */
export async function effectsByBooking({
  targets,
}: Deployment): Promise<ReadonlyMap<string, number>> {
  const services = targets.flatMap(({beside}) =>
    beside?.kind === 'plain' ? [beside] : [],
  );
  const reports = await Promise.all(services.map(each => each.report()));
  const effects = new Map<string, number>();
  for (const {body} of reports.flatMap(
    report => report['effects'] as Effect[],
  )) {
    const {booking} = JSON.parse(body) as {booking: string};
    effects.set(booking, (effects.get(booking) ?? 0) + 1);
  }
  return effects;
}
