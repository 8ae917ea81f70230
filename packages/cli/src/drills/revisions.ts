/** Drills that only read: which revision is in force where, and for how long. */
import {setTimeout as delay} from 'node:timers/promises';
import type {StatusResponse} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import {askAll, nodeStatus, type NodeAnswer} from '../nodes.js';
import {summarize} from '../status.js';
import {formatDuration, plural, type Terminal} from '../terminal.js';
import {startTraffic} from '../traffic.js';
import {chatChecks} from './chats.js';
import {
  drillCheck,
  type Drill,
  type DrillCheck,
  type DrillContext,
  type DrillError,
} from './drill.js';

/** Time between two looks at all nodes, in milliseconds. */
const POLL_MS = 500;

type Answers = readonly NodeAnswer<StatusResponse>[];

function answered(answers: Answers): readonly StatusResponse[] {
  return answers.flatMap(({answer}) => (answer.isOk() ? [answer.value] : []));
}

/** Watches each node's revision over several looks. */
function revertWatch() {
  const highest = new Map<string, StatusResponse>();
  const seenAgain = new Set<string>();
  const reverted = new Set<string>();
  return {
    /** Notes nodes whose process went back to a lower revision. */
    observe(answers: Answers): void {
      for (const status of answered(answers)) {
        const key = `${status.node} ${status.incarnation}`;
        const earlier = highest.get(key);
        if (earlier !== undefined) seenAgain.add(status.node);
        if (earlier !== undefined && status.revision < earlier.revision) {
          reverted.add(status.node);
        } else {
          highest.set(key, status);
        }
      }
    },
    check(): DrillCheck {
      if (seenAgain.size === 0) {
        const statement = 'no node was seen twice, so none could revert';
        return {verdict: 'not shown', statement};
      }
      return drillCheck(
        reverted.size === 0,
        reverted.size === 0
          ? `none of ${plural(seenAgain.size, 'node')} went back to a lower revision`
          : `went back to a lower revision: ${[...reverted].join(', ')}`,
      );
    },
  };
}

/** Highest revision of the answers; 0 without one. */
function highestRevision(answers: Answers): bigint {
  return answered(answers).reduce(
    (highest, {revision}) => (revision > highest ? revision : highest),
    0n,
  );
}

function noNodes(): Result<never, DrillError> {
  return Err({kind: 'usage', message: 'needs --vm-list or --nodes'});
}

function noAnswers(): Result<never, DrillError> {
  return Err({kind: 'unreachable', message: 'no node answered'});
}

/** Whether one look at all nodes found the wanted revision everywhere. */
function spreadCheck(
  answers: Answers,
  wanted: bigint,
  waitedMs: number,
): DrillCheck {
  const waited = formatDuration(waitedMs);
  const behind = answers.filter(
    ({answer}) => answer.isErr() || answer.value.revision < wanted,
  );
  if (wanted > 0n && behind.length === 0) {
    const nodes = plural(answers.length, 'node');
    const statement = `revision ${wanted} or above was in force at all ${nodes} after ${waited}`;
    return drillCheck(true, statement);
  }
  const what = wanted > 0n ? `revision ${wanted}` : 'any revision';
  const names = behind.map(({node}) => node.name).join(', ');
  const where = names === '' ? '' : `: ${names}`;
  const statement = `${what} was not in force everywhere after ${waited}${where}`;
  return drillCheck(false, statement);
}

/** Whether the nodes have one revision with one content. */
function uniformCheck(answers: Answers, terminal: Terminal): DrillCheck {
  const {isUniform, isUniformWhereKnown, lines} = summarize(answers);
  lines.forEach(line => terminal.out(line));
  if (isUniform) return drillCheck(true, 'one revision is in force everywhere');
  const silent = answers.length - answered(answers).length;
  return isUniformWhereKnown
    ? {
        verdict: 'not shown',
        statement: `nothing is known of ${plural(silent, 'node')} without an answer`,
      }
    : drillCheck(false, 'not one revision is in force everywhere');
}

/** Whether all nodes that answered at first still do. */
function presenceCheck(first: Answers, last: Answers): DrillCheck {
  const lost = last
    .filter(({answer}, index) => answer.isErr() && first[index]?.answer.isOk())
    .map(({node}) => node.name);
  return drillCheck(
    lost.length === 0,
    lost.length === 0
      ? 'no node stopped answering'
      : `stopped answering: ${lost.join(', ')}`,
  );
}

/** Waits until every node has the revision, or one above it, in force. */
async function revisionSpread({
  nodes,
  revision,
  durationMs,
  terminal,
}: DrillContext): Promise<Result<readonly DrillCheck[], DrillError>> {
  if (nodes.length === 0) return noNodes();
  const start = performance.now();
  const watch = revertWatch();
  let wanted = BigInt(revision ?? 0);
  for (;;) {
    const answers = await askAll(nodes, nodeStatus);
    const waitedMs = performance.now() - start;
    watch.observe(answers);
    if (answered(answers).length === 0) return noAnswers();
    if (wanted === 0n) wanted = highestRevision(answers);
    const spread = spreadCheck(answers, wanted, waitedMs);
    await delay(POLL_MS);
    if (spread.verdict !== 'held' && waitedMs < durationMs) continue;
    // A further look, without which no node could be seen to go back.
    const last = await askAll(nodes, nodeStatus);
    watch.observe(last);
    return Ok([spread, uniformCheck(last, terminal), watch.check()]);
  }
}

/** Observes a deployment whose configuration service operators have taken down. */
async function configurationServiceDown(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const {nodes, configService, access, models, parallel, durationMs} = context;
  if (nodes.length === 0) return noNodes();
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
  const watch = revertWatch();
  const start = performance.now();
  const first = await askAll(nodes, nodeStatus);
  if (answered(first).length === 0) {
    await traffic?.finish();
    return noAnswers();
  }
  watch.observe(first);
  let last: Answers;
  do {
    await delay(POLL_MS);
    last = await askAll(nodes, nodeStatus);
    watch.observe(last);
  } while (performance.now() - start < durationMs);
  const results = (await traffic?.finish()) ?? [];
  const stayedDown = (await configService.read('manifest')).isErr();
  return Ok([
    stayedDown
      ? drillCheck(
          true,
          'the configuration service did not answer at the start and at the end',
        )
      : {
          verdict: 'not shown',
          statement:
            'the configuration service answers again at the end of the drill',
        },
    presenceCheck(first, last),
    uniformCheck(last, context.terminal),
    watch.check(),
    ...(traffic ? chatChecks(results) : []),
  ]);
}

/** Measures how long a published revision takes to be in force everywhere. */
export const REVISION_SPREAD: Drill = {
  name: 'revision-spread',
  summary:
    'read-only: waits until one revision is in force at every node, and says how long it took',
  needs: '--vm-list or --nodes; optional --revision, --duration-ms',
  run: revisionSpread,
};

/** Checks that the nodes keep the accepted configuration. */
export const CONFIGURATION_SERVICE_DOWN: Drill = {
  name: 'configuration-service-down',
  summary:
    'read-only: with the configuration service taken down, every node keeps its revision and serves',
  needs:
    '--config-service, --vm-list or --nodes; optional --caller-url, --key, --model, --duration-ms',
  run: configurationServiceDown,
};
