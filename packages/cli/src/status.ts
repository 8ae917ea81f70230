/** `status`: state and revision of all nodes. */
import type {StatusResponse} from '@balsamnotch/wire';
import {EXIT, type ExitCode} from './exit.js';
import {
  askAll,
  nodeStatus,
  stateName,
  type NodeAddress,
  type NodeAnswer,
} from './nodes.js';
import {formatDuration, plural, table, type Terminal} from './terminal.js';

/** Most names of nodes that one line lists. */
const MAX_NAMES = 10;

/** Digits of a content hash that are shown. */
const HASH_DIGITS = 12;

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

/** Counters of the daemon that show a fault in what operators published. */
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

/** What is in force at the nodes. */
export interface RevisionSummary {
  /** True when every node answered and has the same revision and content. */
  readonly isUniform: boolean;
  /** True when some node answered, and all that did have the same. */
  readonly isUniformWhereKnown: boolean;
  readonly lines: readonly string[];
}

function nameList(names: readonly string[]): string {
  const rest = names.length - MAX_NAMES;
  const listed = names.slice(0, MAX_NAMES).join(', ');
  return rest > 0 ? `${listed} and ${rest} more` : listed;
}

/** Time at the operator's clock, and how long ago. */
function since(status: StatusResponse, nowMs: number): string {
  if (status.revision === 0n) return '-';
  const at = new Date(nowMs - status.revisionAgeMs).toISOString();
  const age = formatDuration(status.revisionAgeMs);
  return `${at.slice(0, 19)}Z (${age})`;
}

function adapters({report}: StatusResponse): string {
  if (report === undefined || report.slots === 0) return '-';
  return `${report.loaded.length} of ${report.slots}`;
}

/** A node without an answer has the role and place that the VM list gives. */
function silentRow({name, listed}: NodeAddress): readonly string[] {
  return [
    name,
    listed?.role ?? '-',
    listed?.service || '-',
    listed?.failureDomain ?? '-',
    'no answer',
    ...['-', '-', '-', '-'],
  ];
}

function row(
  {node, answer}: NodeAnswer<StatusResponse>,
  nowMs: number,
): readonly string[] {
  if (answer.isErr()) return silentRow(node);
  const status = answer.value;
  const state = stateName(status.state);
  const isListedLeaving = node.listed?.state === 'leaving';
  return [
    status.node,
    status.role,
    status.service || '-',
    status.failureDomain,
    isListedLeaving && state !== 'leaving' ? `${state} (list: leaving)` : state,
    status.revision === 0n ? 'none' : String(status.revision),
    since(status, nowMs),
    adapters(status),
    String(status.inProgress),
  ];
}

/** Names of nodes by a key of their status. */
function groupNames(
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
  const byRevision = groupNames(statuses, ({revision}) => String(revision));
  if (byRevision.size > 1) {
    const parts = [...byRevision].map(([revision, names]) => {
      const what = revision === '0' ? 'no revision' : `revision ${revision}`;
      return `  ${what} at ${plural(names.length, 'node')}: ${nameList(names)}`;
    });
    return ['NOT one revision in force everywhere:', ...parts];
  }
  const byHash = groupNames(statuses, ({revisionHash}) => revisionHash);
  const parts = [...byHash].map(
    ([hash, names]) =>
      `  content ${hash.slice(0, HASH_DIGITS)} at ${plural(names.length, 'node')}: ${nameList(names)}`,
  );
  return [
    'NOT one revision in force everywhere: the nodes have different content under the same revision:',
    ...parts,
  ];
}

function silentLines(
  answers: readonly NodeAnswer<StatusResponse>[],
): readonly string[] {
  const silent = answers.flatMap(({node, answer}) =>
    answer.isErr()
      ? [`  ${node.name} (${node.address}): ${answer.error.message}`]
      : [],
  );
  if (silent.length === 0) return [];
  return [`${plural(silent.length, 'node')} did not answer:`, ...silent];
}

/** Says whether one revision is in force everywhere, and who did not answer. */
export function summarize(
  answers: readonly NodeAnswer<StatusResponse>[],
): RevisionSummary {
  const statuses = answers.flatMap(({answer}) =>
    answer.isOk() ? [answer.value] : [],
  );
  const silent = silentLines(answers);
  const mixed = {isUniform: false, isUniformWhereKnown: false};
  const [first] = statuses;
  if (first === undefined) {
    return {...mixed, lines: ['no node answered', ...silent]};
  }
  const isSame = statuses.every(
    ({revision, revisionHash}) =>
      revision === first.revision && revisionHash === first.revisionHash,
  );
  if (!isSame) {
    return {...mixed, lines: [...differenceLines(statuses), ...silent]};
  }
  const nodes = plural(statuses.length, 'node');
  if (first.revision === 0n) {
    const line = `no revision is in force at any of ${nodes}`;
    return {...mixed, lines: [line, ...silent]};
  }
  const isUniform = silent.length === 0;
  const line = isUniform
    ? `revision ${first.revision} is in force everywhere: at all ${nodes}`
    : `revision ${first.revision} is in force at all ${nodes} that answered; nothing is known of the others`;
  return {isUniform, isUniformWhereKnown: true, lines: [line, ...silent]};
}

/** Nodes that refused what operators published; their logs hold the findings. */
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
    const nodes = plural(names.length, 'node');
    return [`${nodes} ${meaning} (${counter}): ${nameList(names)}`];
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
  /** Wall clock, in milliseconds. */
  readonly now?: () => number;
}

/** Prints the table of all nodes and what is in force. */
export async function status(
  {nodes, listAdapters = false, now = Date.now}: StatusOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const answers = await askAll(nodes, nodeStatus);
  const rows = answers.map(answer => row(answer, now()));
  table([HEADINGS, ...rows]).forEach(line => terminal.out(line));
  if (listAdapters) {
    const loaded = adapterLines(answers);
    const lines = loaded.length > 0 ? loaded : ['no adapter is loaded'];
    ['', ...lines].forEach(line => terminal.out(line));
  }
  const summary = summarize(answers);
  const lines = ['', ...summary.lines, ...publicationLines(answers)];
  lines.forEach(line => terminal.out(line));
  if (summary.isUniform) return EXIT.ok;
  const isSilent = answers.every(({answer}) => answer.isErr());
  return isSilent ? EXIT.unreachable : EXIT.failed;
}
