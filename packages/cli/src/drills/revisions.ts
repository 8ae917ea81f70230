/** Read-only drills that observe which revision is in force at each node. */
import {setTimeout as delay} from 'node:timers/promises';
import type {StatusResponse} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import {fetchStatus, queryAll, type NodeAnswer} from '../nodes.js';
import {summarizeRevisions} from '../status.js';
import {formatDuration, pluralize, type Terminal} from '../terminal.js';
import {startTraffic} from '../traffic.js';
import {checkChats} from './chats.js';
import {
  drillCheck,
  type Drill,
  type DrillCheck,
  type DrillContext,
  type DrillError,
} from './drill.js';

/** Interval between status queries to all nodes, in milliseconds. */
const POLL_INTERVAL_MS = 500;

type StatusAnswers = readonly NodeAnswer<StatusResponse>[];

function answeredStatuses(answers: StatusAnswers): readonly StatusResponse[] {
  return answers.flatMap(({answer}) => (answer.isOk() ? [answer.value] : []));
}

/** Detects nodes whose revision decreases between status queries. */
function createRevertDetector() {
  const highestByProcess = new Map<string, StatusResponse>();
  const comparedNodes = new Set<string>();
  const revertedNodes = new Set<string>();
  return {
    /** Records the revisions; compares only answers of the same incarnation of a node. */
    observe(answers: StatusAnswers): void {
      for (const status of answeredStatuses(answers)) {
        const key = `${status.node} ${status.incarnation}`;
        const highest = highestByProcess.get(key);
        if (highest !== undefined) comparedNodes.add(status.node);
        if (highest !== undefined && status.revision < highest.revision) {
          revertedNodes.add(status.node);
        } else {
          highestByProcess.set(key, status);
        }
      }
    },
    check(): DrillCheck {
      if (comparedNodes.size === 0) {
        const statement = 'no node was seen twice, so none could revert';
        return {verdict: 'not shown', statement};
      }
      return drillCheck(
        revertedNodes.size === 0,
        revertedNodes.size === 0
          ? `none of ${pluralize(comparedNodes.size, 'node')} went back to a lower revision`
          : `went back to a lower revision: ${[...revertedNodes].join(', ')}`,
      );
    },
  };
}

/** Returns the highest revision of the answers; 0 when no revision is in force. */
function highestRevision(answers: StatusAnswers): bigint {
  return answeredStatuses(answers).reduce(
    (highest, {revision}) => (revision > highest ? revision : highest),
    0n,
  );
}

function missingNodesError(): Result<never, DrillError> {
  return Err({kind: 'usage', message: 'needs --vm-list or --nodes'});
}

function noAnswerError(): Result<never, DrillError> {
  return Err({kind: 'unreachable', message: 'no node answered'});
}

/** Checks that the expected revision, or a higher one, is in force at every node. */
function checkSpread(
  answers: StatusAnswers,
  expectedRevision: bigint,
  waitedMs: number,
): DrillCheck {
  const waited = formatDuration(waitedMs);
  const nodesBehind = answers.filter(
    ({answer}) => answer.isErr() || answer.value.revision < expectedRevision,
  );
  if (expectedRevision > 0n && nodesBehind.length === 0) {
    const nodes = pluralize(answers.length, 'node');
    const statement = `revision ${expectedRevision} or above was in force at all ${nodes} after ${waited}`;
    return drillCheck(true, statement);
  }
  const expected =
    expectedRevision > 0n ? `revision ${expectedRevision}` : 'any revision';
  const names = nodesBehind.map(({node}) => node.name).join(', ');
  const suffix = names === '' ? '' : `: ${names}`;
  const statement = `${expected} was not in force everywhere after ${waited}${suffix}`;
  return drillCheck(false, statement);
}

/** Checks that all nodes have the same revision with the same content. */
function checkUniformity(
  answers: StatusAnswers,
  terminal: Terminal,
): DrillCheck {
  const {isUniform, isUniformAmongAnswers, lines} = summarizeRevisions(answers);
  lines.forEach(line => terminal.out(line));
  if (isUniform) return drillCheck(true, 'one revision is in force everywhere');
  const unansweredCount = answers.length - answeredStatuses(answers).length;
  return isUniformAmongAnswers
    ? {
        verdict: 'not shown',
        statement: `nothing is known of ${pluralize(unansweredCount, 'node')} without an answer`,
      }
    : drillCheck(false, 'not one revision is in force everywhere');
}

/** Checks that all nodes that answered at the start of the drill answer at its end. */
function checkPresence(
  firstAnswers: StatusAnswers,
  lastAnswers: StatusAnswers,
): DrillCheck {
  const lostNodes = lastAnswers
    .filter(
      ({answer}, index) => answer.isErr() && firstAnswers[index]?.answer.isOk(),
    )
    .map(({node}) => node.name);
  return drillCheck(
    lostNodes.length === 0,
    lostNodes.length === 0
      ? 'no node stopped answering'
      : `stopped answering: ${lostNodes.join(', ')}`,
  );
}

/** Waits until the revision or a higher one is in force at every node. */
async function revisionSpread({
  nodes,
  revision,
  durationMs,
  terminal,
}: DrillContext): Promise<Result<readonly DrillCheck[], DrillError>> {
  if (nodes.length === 0) return missingNodesError();
  const startMs = performance.now();
  const revertDetector = createRevertDetector();
  let expectedRevision = BigInt(revision ?? 0);
  for (;;) {
    const answers = await queryAll(nodes, fetchStatus);
    const waitedMs = performance.now() - startMs;
    revertDetector.observe(answers);
    if (answeredStatuses(answers).length === 0) return noAnswerError();
    if (expectedRevision === 0n) expectedRevision = highestRevision(answers);
    const spread = checkSpread(answers, expectedRevision, waitedMs);
    await delay(POLL_INTERVAL_MS);
    if (spread.verdict !== 'held' && waitedMs < durationMs) continue;
    // Detecting a revert takes at least two queries, also when the first one succeeds.
    const lastAnswers = await queryAll(nodes, fetchStatus);
    revertDetector.observe(lastAnswers);
    return Ok([
      spread,
      checkUniformity(lastAnswers, terminal),
      revertDetector.check(),
    ]);
  }
}

/** Observes a deployment whose configuration service the operators have taken down. */
async function configurationServiceDown(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const {nodes, configService, access, models, parallel, durationMs} = context;
  if (nodes.length === 0) return missingNodesError();
  if (configService === undefined) {
    return Err({kind: 'usage', message: 'needs --config-service'});
  }
  if ((await configService.read('manifest')).isOk()) {
    const message =
      'the configuration service answers; take it down first, then run the drill';
    return Err({kind: 'usage', message});
  }
  const traffic =
    access && models.length > 0
      ? startTraffic({access, models, parallel})
      : undefined;
  const revertDetector = createRevertDetector();
  const startMs = performance.now();
  const firstAnswers = await queryAll(nodes, fetchStatus);
  if (answeredStatuses(firstAnswers).length === 0) {
    await traffic?.finish();
    return noAnswerError();
  }
  revertDetector.observe(firstAnswers);
  let lastAnswers: StatusAnswers;
  do {
    await delay(POLL_INTERVAL_MS);
    lastAnswers = await queryAll(nodes, fetchStatus);
    revertDetector.observe(lastAnswers);
  } while (performance.now() - startMs < durationMs);
  const results = (await traffic?.finish()) ?? [];
  const isStillDown = (await configService.read('manifest')).isErr();
  return Ok([
    isStillDown
      ? drillCheck(
          true,
          'the configuration service did not answer at the start and at the end',
        )
      : {
          verdict: 'not shown',
          statement:
            'the configuration service answers again at the end of the drill',
        },
    checkPresence(firstAnswers, lastAnswers),
    checkUniformity(lastAnswers, context.terminal),
    revertDetector.check(),
    ...(traffic ? checkChats(results) : []),
  ]);
}

/** Measures how long it takes until a published revision is in force everywhere. */
export const REVISION_SPREAD: Drill = {
  name: 'revision-spread',
  summary:
    'read-only: waits until one revision is in force at every node, and says how long it took',
  needs: '--vm-list or --nodes; optional --revision, --duration-ms',
  run: revisionSpread,
};

/** Checks that nodes keep their configuration while the configuration service is down. */
export const CONFIGURATION_SERVICE_DOWN: Drill = {
  name: 'configuration-service-down',
  summary:
    'read-only: with the configuration service taken down, every node keeps its revision and serves',
  needs:
    '--config-service, --vm-list or --nodes; optional --caller-url, --key, --model, --duration-ms',
  run: configurationServiceDown,
};
