/**
 * Runs one soak: puts a deployment under load and faults, lets it recover, and checks all guarantees.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {PublishedConfiguration} from '@balsamnotch/config';
import type {EntryAccess, Deployment} from '@balsamnotch/demo';
import {
  confirmWithoutTicket,
  startStream,
  type ChatPlan,
  type ChatStream,
  type ConfirmationResult,
} from '../caller.js';
import {
  entryAccess,
  generateScenarioConfiguration,
  countEffectsByBooking,
  startDeploymentWithRelays,
  readStatus,
} from '../deployment.js';
import {runFaults} from './faults.js';
import {planFaults, type PlannedFault} from './plan.js';
import {
  findConfirmationViolations,
  findStreamViolations,
  type Violation,
} from './promises.js';

/** Deadline of a confirmation, in milliseconds. */
const CONFIRMATION_DEADLINE_MS = 4_000;

/** Pause between two requests of a caller, in milliseconds. */
const REQUEST_PAUSE_MS = 20;

/** Tokens of a stream. The stand-in engines take about 1.5 s to generate them. */
const STREAM_TOKENS = 60;

/** Time within which all nodes must have the last revision in force, in milliseconds. */
const CONFIGURATION_TIMEOUT_MS = 9_000;

/** Number of adapters in the questionnaire of the deployment. */
const ADAPTER_COUNT = 20;
/** Callers per entry that send confirmations, and as many that stream chats. */
const CALLERS_PER_ENTRY = 2;

/**
 * Time within which every entry must serve again after the last fault, in milliseconds. Covers the
 * longest time for which a failed target is avoided plus two probes.
 */
const RECOVERY_TIMEOUT_MS = 15_000;

/** Result of one soak. */
export interface SoakResult {
  readonly faults: readonly PlannedFault[];
  readonly confirmationCount: number;
  readonly streamCount: number;
  /** Number of confirmations and streams that were refused or interrupted. */
  readonly failedCount: number;
  readonly violations: readonly Violation[];
}

/** Confirms a booking; reports status 0 instead of rejecting if no response arrives. */
async function tryConfirm(
  access: EntryAccess,
  booking: string,
): Promise<ConfirmationResult> {
  const startMs = performance.now();
  try {
    return await confirmWithoutTicket(
      access,
      booking,
      CONFIRMATION_DEADLINE_MS,
    );
  } catch {
    // The entry was killed or did not respond in time, so the outcome is unknown to the caller.
    return {booking, status: 0, durationMs: performance.now() - startMs};
  }
}

/** Generates successive revisions that alternate the current adapter version between v2 and v1. */
function createRevisionSequence(): {
  readonly generateNext: () => Promise<PublishedConfiguration>;
  readonly latestRevision: () => number;
} {
  let revision = 1;
  return {
    generateNext: () => {
      revision += 1;
      const current = revision % 2 === 0 ? 'v2' : 'v1';
      return generateScenarioConfiguration(({adapters}) => ({
        revision,
        adapters: adapters.map(group => ({...group, current})),
      }));
    },
    latestRevision: () => revision,
  };
}

/**
 * Checks that every node has the last published revision in force within
 * {@link CONFIGURATION_TIMEOUT_MS}.
 */
async function findRevisionViolations(
  deployment: Deployment,
  publishedRevision: number,
): Promise<readonly Violation[]> {
  const endMs = performance.now() + CONFIGURATION_TIMEOUT_MS;
  const checkNode = async (name: string): Promise<readonly Violation[]> => {
    let lastResult = 'no status';
    while (performance.now() < endMs) {
      const status = await readStatus(deployment, name).catch(() => undefined);
      if (status?.revision === BigInt(publishedRevision)) return [];
      lastResult = `revision ${status?.revision ?? 'unknown'}`;
      await sleep(REQUEST_PAUSE_MS);
    }
    return [
      `${name} has ${lastResult} in force ${CONFIGURATION_TIMEOUT_MS} ms after the faults; published is ${publishedRevision}`,
    ];
  };
  const nodes = [...deployment.entries, ...deployment.targets];
  return (await Promise.all(nodes.map(({name}) => checkNode(name)))).flat();
}

/**
 * Checks that each entry serves confirmations and streams again within
 * {@link RECOVERY_TIMEOUT_MS}.
 */
async function findRecoveryViolations(
  deployment: Deployment,
  confirmations: ConfirmationResult[],
): Promise<readonly Violation[]> {
  const endMs = performance.now() + RECOVERY_TIMEOUT_MS;
  const checkEntry = async (entry: string): Promise<readonly Violation[]> => {
    const access = entryAccess(deployment, entry);
    let lastResult = '';
    for (let i = 0; performance.now() < endMs; i++) {
      const confirmation = await tryConfirm(access, `calm-${entry}-${i}`);
      confirmations.push(confirmation);
      const plan = {
        adapter: 'style-0001',
        version: 'v1',
        content: `calm ${entry} ${i}`,
        tokens: 5,
      };
      const stream = startStream(access, plan);
      await stream.ended;
      if (confirmation.status === 200 && stream.done) return [];
      lastResult = `${confirmation.status} ${confirmation.outcome ?? ''} ${JSON.stringify(stream.error)}`;
      await sleep(REQUEST_PAUSE_MS);
    }
    return [
      `${entry} does not serve ${RECOVERY_TIMEOUT_MS} ms after the faults: ${lastResult}`,
    ];
  };
  const names = deployment.entries.map(({name}) => name);
  return (await Promise.all(names.map(checkEntry))).flat();
}

/** Runs the soak of a seed with faults planned over `durationMs` milliseconds. */
export async function runSoak(
  seed: number,
  durationMs: number,
): Promise<SoakResult> {
  const deployment = await startDeploymentWithRelays();
  try {
    return await runLoadAndFaults(deployment, seed, durationMs);
  } finally {
    await deployment.close();
  }
}

async function runLoadAndFaults(
  deployment: Deployment,
  seed: number,
  durationMs: number,
): Promise<SoakResult> {
  const targetNames = (service: string) =>
    deployment.targets
      .filter(target => target.service === service)
      .map(({name}) => name);
  const entries = deployment.entries.map(({name}) => name);
  const faults = planFaults(
    seed,
    {
      entries,
      engineTargets: targetNames('assistant'),
      plainTargets: targetNames('booking'),
    },
    durationMs,
  );
  const confirmations: ConfirmationResult[] = [];
  const streams: ChatStream[] = [];
  let isStopped = false;
  const sendConfirmations = async (entry: string, caller: number) => {
    const access = entryAccess(deployment, entry);
    for (let i = 0; !isStopped; i++) {
      confirmations.push(
        await tryConfirm(access, `soak-${entry}-${caller}-${i}`),
      );
      await sleep(REQUEST_PAUSE_MS);
    }
  };
  const sendChats = async (entry: string, caller: number) => {
    const access = entryAccess(deployment, entry);
    for (let i = 0; !isStopped; i++) {
      const adapterNumber =
        1 + ((i * CALLERS_PER_ENTRY + caller) % ADAPTER_COUNT);
      const plan: ChatPlan = {
        adapter: `style-${String(adapterNumber).padStart(4, '0')}`,
        version: i % 3 === 0 ? '' : i % 3 === 1 ? 'v1' : 'v2',
        content: `soak ${entry} ${caller} ${i}`,
        tokens: STREAM_TOKENS,
      };
      const stream = startStream(access, plan);
      streams.push(stream);
      await stream.ended;
      await sleep(REQUEST_PAUSE_MS);
    }
  };
  const callers = entries.flatMap(entry =>
    Array.from({length: CALLERS_PER_ENTRY}, (_, caller) => [
      sendConfirmations(entry, caller),
      sendChats(entry, caller),
    ]).flat(),
  );
  const {generateNext, latestRevision} = createRevisionSequence();
  await runFaults(faults, {
    deployment,
    generateNextConfiguration: generateNext,
  });
  const revisionViolations = await findRevisionViolations(
    deployment,
    latestRevision(),
  );
  isStopped = true;
  await Promise.all(callers);
  const recoveryViolations = await findRecoveryViolations(
    deployment,
    confirmations,
  );
  const effects = await countEffectsByBooking(deployment);
  const violations = [
    ...confirmations.flatMap(result =>
      findConfirmationViolations(
        result,
        effects.get(result.booking) ?? 0,
        CONFIRMATION_DEADLINE_MS,
      ),
    ),
    ...streams.flatMap(findStreamViolations),
    ...revisionViolations,
    ...recoveryViolations,
  ];
  const failedCount =
    confirmations.filter(({status}) => status !== 200).length +
    streams.filter(({done}) => !done).length;
  return {
    faults,
    confirmationCount: confirmations.length,
    streamCount: streams.length,
    failedCount,
    violations,
  };
}
