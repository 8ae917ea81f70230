/** Drills that only read: which revision is in force where, and for how long. */
import {setTimeout as delay} from 'node:timers/promises';
import type {StatusResponse} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import {askAll, nodeStatus, type NodeAnswer} from '../nodes.js';
import {summarize} from '../status.js';
import {formatDuration, plural} from '../terminal.js';
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
  const reverted = new Set<string>();
  return {
    /** Notes nodes whose process went back to a lower revision. */
    observe(answers: Answers): void {
      for (const status of answered(answers)) {
        const key = `${status.node} ${status.incarnation}`;
        const earlier = highest.get(key);
        if (earlier !== undefined && status.revision < earlier.revision) {
          reverted.add(status.node);
        } else {
          highest.set(key, status);
        }
      }
    },
    check(): DrillCheck {
      return drillCheck(
        reverted.size === 0,
        reverted.size === 0
          ? 'no node went back to a lower revision'
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

/** Waits until every node has the revision, or one above it, in force. */
async function revisionSpread(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const {nodes, revision, durationMs, terminal} = context;
  if (nodes.length === 0) return noNodes();
  const start = performance.now();
  const watch = revertWatch();
  let wanted = BigInt(revision ?? 0);
  for (;;) {
    const answers = await askAll(nodes, nodeStatus);
    const waitedMs = performance.now() - start;
    watch.observe(answers);
    if (wanted === 0n) wanted = highestRevision(answers);
    const behind = answers.filter(
      ({answer}) => answer.isErr() || answer.value.revision < wanted,
    );
    const isSpread = behind.length === 0 && wanted > 0n;
    if (isSpread || waitedMs >= durationMs) {
      const waited = formatDuration(waitedMs);
      const names = behind.map(({node}) => node.name).join(', ');
      const statement = isSpread
        ? `revision ${wanted} or above was in force at all ${plural(nodes.length, 'node')} after ${waited}`
        : `revision ${wanted} was not in force everywhere after ${waited}: ${names}`;
      const summary = summarize(answers);
      summary.lines.forEach(line => terminal.out(line));
      return Ok([
        drillCheck(isSpread, statement),
        drillCheck(
          summary.isUniform,
          summary.isUniform
            ? 'all nodes have the same content'
            : 'the nodes do not all have the same content',
        ),
        watch.check(),
      ]);
    }
    await delay(POLL_MS);
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
  let answers: Answers;
  do {
    answers = await askAll(nodes, nodeStatus);
    watch.observe(answers);
    await delay(POLL_MS);
  } while (performance.now() - start < durationMs);
  const results = (await traffic?.finish()) ?? [];
  const stayedDown = (await configService.read('manifest')).isErr();
  const summary = summarize(answers);
  summary.lines.forEach(line => context.terminal.out(line));
  return Ok([
    stayedDown
      ? drillCheck(true, 'the configuration service stayed down')
      : {
          verdict: 'not shown',
          statement: 'the configuration service came back during the drill',
        },
    drillCheck(
      summary.isUniform,
      summary.isUniform
        ? 'one revision is in force everywhere'
        : 'not one revision is in force everywhere',
    ),
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
