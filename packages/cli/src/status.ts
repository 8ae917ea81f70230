/** `status`: prints the state and revision of all nodes. */
import type {StatusResponse} from '@balsamnotch/wire';
import {EXIT, type ExitCode} from './exit.js';
import {
  fetchStatus,
  queryAll,
  stateName,
  type NodeAddress,
  type NodeAnswer,
} from './nodes.js';
import {
  formatDuration,
  pluralize,
  formatTable,
  type Terminal,
} from './terminal.js';

/** Maximum number of node names in one line. */
const MAX_LISTED_NODES = 10;

/** Number of leading hexadecimal digits of a content hash that are printed. */
const HASH_PREFIX_DIGITS = 12;

const HEADINGS = [
  'NODE',
  'ROLE',
  'SERVICE',
  'FAILURE DOMAIN',
  'STATE',
  'REVISION',
  'IN FORCE SINCE',
  'ADAPTERS',
  'IN PROGRESS',
];

/** Counters of the daemon that indicate a fault in a published configuration. */
const PUBLICATION_COUNTERS = [
  {
    counter: 'config_rejected',
    meaning: 'refused a published configuration since they started',
  },
  {
    counter: 'revision_conflict',
    meaning: 'saw other content under a revision number since they started',
  },
] as const;

/** Summary of the revisions in force at the nodes. */
export interface RevisionSummary {
  /** Whether every node answered and has the same revision and content. */
  readonly isUniform: boolean;
  /**
   * Whether at least one node answered, and all that answered have the same
   * revision and content.
   */
  readonly isUniformAmongAnswers: boolean;
  readonly lines: readonly string[];
}

function formatNames(names: readonly string[]): string {
  const omittedCount = names.length - MAX_LISTED_NODES;
  const listedNames = names.slice(0, MAX_LISTED_NODES).join(', ');
  return omittedCount > 0
    ? `${listedNames} and ${omittedCount} more`
    : listedNames;
}

/** Formats since when the revision is in force, by the operator's clock, and its age. */
function formatInForceSince(status: StatusResponse, nowMs: number): string {
  if (status.revision === 0n) return '-';
  const inForceSince = new Date(nowMs - status.revisionAgeMs).toISOString();
  const age = formatDuration(status.revisionAgeMs);
  return `${inForceSince.slice(0, 19)}Z (${age})`;
}

function formatAdapterSlots({report}: StatusResponse): string {
  if (report === undefined || report.slots === 0) return '-';
  return `${report.loaded.length} of ${report.slots}`;
}

/** Row of a node that did not answer; role, service and failure domain are from the VM list. */
function unansweredRow({name, vm}: NodeAddress): readonly string[] {
  return [
    name,
    vm?.role ?? '-',
    vm?.service || '-',
    vm?.failureDomain ?? '-',
    'no answer',
    ...['-', '-', '-', '-'],
  ];
}

function nodeRow(
  {node, answer}: NodeAnswer<StatusResponse>,
  nowMs: number,
): readonly string[] {
  if (answer.isErr()) return unansweredRow(node);
  const status = answer.value;
  const state = stateName(status.state);
  const isListedLeaving = node.vm?.state === 'leaving';
  return [
    status.node,
    status.role,
    status.service || '-',
    status.failureDomain,
    isListedLeaving && state !== 'leaving' ? `${state} (list: leaving)` : state,
    status.revision === 0n ? 'none' : String(status.revision),
    formatInForceSince(status, nowMs),
    formatAdapterSlots(status),
    String(status.inProgress),
  ];
}

/** Groups the names of nodes by a key of their status. */
function groupNodeNames(
  statuses: readonly StatusResponse[],
  key: (status: StatusResponse) => string,
): ReadonlyMap<string, readonly string[]> {
  const groups = new Map<string, string[]>();
  for (const status of statuses) {
    const names = groups.get(key(status)) ?? [];
    names.push(status.node);
    groups.set(key(status), names);
  }
  return groups;
}

function differenceLines(
  statuses: readonly StatusResponse[],
): readonly string[] {
  const byRevision = groupNodeNames(statuses, ({revision}) => String(revision));
  if (byRevision.size > 1) {
    const parts = [...byRevision].map(([revision, names]) => {
      const label = revision === '0' ? 'no revision' : `revision ${revision}`;
      return `  ${label} at ${pluralize(names.length, 'node')}: ${formatNames(names)}`;
    });
    return ['NOT one revision in force everywhere:', ...parts];
  }
  const byHash = groupNodeNames(statuses, ({revisionHash}) => revisionHash);
  const parts = [...byHash].map(
    ([hash, names]) =>
      `  content ${hash.slice(0, HASH_PREFIX_DIGITS)} at ${pluralize(names.length, 'node')}: ${formatNames(names)}`,
  );
  return [
    'NOT one revision in force everywhere: the nodes have different content under the same revision:',
    ...parts,
  ];
}

function unansweredLines(
  answers: readonly NodeAnswer<StatusResponse>[],
): readonly string[] {
  const lines = answers.flatMap(({node, answer}) =>
    answer.isErr()
      ? [`  ${node.name} (${node.address}): ${answer.error.message}`]
      : [],
  );
  if (lines.length === 0) return [];
  return [`${pluralize(lines.length, 'node')} did not answer:`, ...lines];
}

/** Summarizes whether one revision is in force everywhere, and which nodes did not answer. */
export function summarizeRevisions(
  answers: readonly NodeAnswer<StatusResponse>[],
): RevisionSummary {
  const statuses = answers.flatMap(({answer}) =>
    answer.isOk() ? [answer.value] : [],
  );
  const unansweredSummary = unansweredLines(answers);
  const notUniform = {isUniform: false, isUniformAmongAnswers: false};
  const [first] = statuses;
  if (first === undefined) {
    return {...notUniform, lines: ['no node answered', ...unansweredSummary]};
  }
  const isSame = statuses.every(
    ({revision, revisionHash}) =>
      revision === first.revision && revisionHash === first.revisionHash,
  );
  if (!isSame) {
    return {
      ...notUniform,
      lines: [...differenceLines(statuses), ...unansweredSummary],
    };
  }
  const nodes = pluralize(statuses.length, 'node');
  if (first.revision === 0n) {
    const line = `no revision is in force at any of ${nodes}`;
    return {...notUniform, lines: [line, ...unansweredSummary]};
  }
  const isUniform = unansweredSummary.length === 0;
  const line = isUniform
    ? `revision ${first.revision} is in force everywhere: at all ${nodes}`
    : `revision ${first.revision} is in force at all ${nodes} that answered; nothing is known of the others`;
  return {
    isUniform,
    isUniformAmongAnswers: true,
    lines: [line, ...unansweredSummary],
  };
}

/** Lists nodes that rejected a published configuration; their logs contain the findings. */
function publicationLines(
  answers: readonly NodeAnswer<StatusResponse>[],
): readonly string[] {
  const statuses = answers.flatMap(({answer}) =>
    answer.isOk() ? [answer.value] : [],
  );
  return PUBLICATION_COUNTERS.flatMap(({counter, meaning}) => {
    const names = statuses
      .filter(({counters}) => (counters[counter] ?? 0) > 0)
      .map(({node}) => node);
    if (names.length === 0) return [];
    const nodes = pluralize(names.length, 'node');
    return [`${nodes} ${meaning} (${counter}): ${formatNames(names)}`];
  });
}

function adapterLines(
  answers: readonly NodeAnswer<StatusResponse>[],
): readonly string[] {
  return answers.flatMap(({answer}) => {
    if (answer.isErr()) return [];
    const {node, report} = answer.value;
    const loaded = report?.loaded ?? [];
    const names = loaded.map(({adapter, version}) => `${adapter}@${version}`);
    return names.length > 0 ? [`${node}: ${names.join(', ')}`] : [];
  });
}

/** Options of {@link status}. */
export interface StatusOptions {
  readonly nodes: readonly NodeAddress[];
  /** Lists the loaded adapters of each target. */
  readonly listAdapters?: boolean;
  /** Returns the wall-clock time, in milliseconds. */
  readonly now?: () => number;
}

/** Prints a table of all nodes and a summary of the revisions in force. */
export async function status(
  {nodes, listAdapters = false, now = Date.now}: StatusOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const answers = await queryAll(nodes, fetchStatus);
  const rows = answers.map(answer => nodeRow(answer, now()));
  formatTable([HEADINGS, ...rows]).forEach(line => terminal.out(line));
  if (listAdapters) {
    const loaded = adapterLines(answers);
    const lines = loaded.length > 0 ? loaded : ['no adapter is loaded'];
    ['', ...lines].forEach(line => terminal.out(line));
  }
  const summary = summarizeRevisions(answers);
  const lines = ['', ...summary.lines, ...publicationLines(answers)];
  lines.forEach(line => terminal.out(line));
  if (summary.isUniform) return EXIT.ok;
  const hasNoAnswers = answers.every(({answer}) => answer.isErr());
  return hasNoAnswers ? EXIT.unreachable : EXIT.failed;
}
