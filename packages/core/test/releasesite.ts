/** Parts of the model of a release, see releasemodel.ts. */
import {StreamOrigins, VersionHistory, nodesToAsk} from '../src/index.js';

/** Sizes of a site, with one server at a time beside each target node, and its load. */
export interface ModelSite {
  readonly entries: number;
  readonly nodes: number;
  readonly streamsPerS: number;
}

/** Ten entries and six servers. */
export const SMALL_SITE: ModelSite = {entries: 10, nodes: 6, streamsPerS: 112};

/** The size of docs/CAPACITY.md. */
export const LARGE_SITE: ModelSite = {
  entries: 390,
  nodes: 600,
  streamsPerS: 1_300,
};

/** What happens to the processes at one time. */
export type ModelFault = {readonly atMs: number} & (
  | {
      /** Shares of the processes are killed, and start again without memory. */
      readonly kind: 'kill';
      readonly entries?: number;
      readonly nodes?: number;
      readonly servers?: number;
    }
  /** Shares of the entries and nodes are out of touch with the others, and with the list. */
  | {
      readonly kind: 'split';
      readonly forMs: number;
      readonly entries: number;
      readonly nodes: number;
    }
  /** All entries are killed and started again, one after another. */
  | {readonly kind: 'roll'; readonly eachMs: number}
);

/** One play of the model. */
export interface ReleasePlay {
  readonly site: ModelSite;
  readonly seed: number;
  /** Times at which the servers begin to be replaced by the next version; versions are v1, v2, .. */
  readonly releasesMs: readonly number[];
  /** Time in which a release replaces all servers, in milliseconds. */
  readonly releaseForMs: number;
  readonly faults?: readonly ModelFault[];
  readonly endMs?: number;
  /** Probability that a message is lost. */
  readonly loss?: number;
  /** Time until processes see a change of the list, in milliseconds; drawn from 20 up to this. */
  readonly listLagMs?: number;
  /** Whether streams wait for new versions to settle. */
  readonly settles?: boolean;
  /** Whether streams begin at a version that has not settled if no other serves. */
  readonly beginsUnsettled?: boolean;
  /** Whether streams begin beside asked nodes where they can; default: false, as entries do. */
  readonly beginsBeside?: boolean;
  /** Whether all servers that one client attempt is sent to have the version of the first. */
  readonly keepsVersion?: boolean;
  /** Number of nodes that are told of a stream. */
  readonly keepers?: number;
  /** Time from which streams count for the shares, in milliseconds. */
  readonly countFromMs?: number;
}

/** What a play showed. */
export interface ReleaseOutcome {
  /** Streams that hold events of more than one version, with the time, the versions and what decided. */
  readonly mixes: string[];
  /** Clients that began a stream, and those that got a first event within their three tries. */
  started: number;
  begun: number;
  /** Streams that clients took up again while two servers of their version served, and those that went on. */
  takenUp: number;
  wentOn: number;
  /** All that were taken up, and refusals by reason. */
  allTakenUp: number;
  readonly refusals: Map<string, number>;
  /**
   * Messages to keepers; those while one version serves of entries that have followed the list for a
   * window; the most for one stream.
   */
  tells: number;
  calmTells: number;
  mostTells: number;
  /** Questions of the take-up with the most; repeats of lost ones do not count. */
  mostQuestions: number;
  /** Most records that one process held. */
  mostRecords: number;
}

/** Time for which streams can be taken up, in milliseconds. */
export const WINDOW_MS = 10_000;
/** Time after which an entry decides with the answers that came, in milliseconds. */
export const ORIGIN_WAIT_MS = 200;
/** Time after which an unanswered question is sent again, in milliseconds. */
export const RESEND_MS = 50;
/** Most tries of a client, and most servers for each. */
export const MAX_TRIES = 3;
/** Time for which the processes followed the list before the play began, in milliseconds. */
export const WARM_UP_MS = 2 * WINDOW_MS;
/** Time between two confirmations of the list, in milliseconds. */
export const CONFIRM_MS = 500;
/** Name of the service. */
export const SERVICE = 's';

/** One start of a server. */
export interface ModelServer {
  readonly version: string;
  readonly node: ModelProcess;
  readonly listedAtMs: number;
  leavingAtMs: number;
  /** Time at which it ends. */
  goneAtMs: number;
  /** Time at which the list shows that; a crash is seen 2 s later. */
  unlistedAtMs: number;
}

/** A stream that an entry has told no keeper of. */
export interface UntoldStream {
  readonly stream: ModelStream;
  /** Time of its first event. */
  readonly atMs: number;
  /** Node beside the server. */
  readonly own: string;
}

/** An entry, or a target node. */
export interface ModelProcess {
  readonly name: string;
  readonly lagMs: number;
  boot: number;
  upAtMs: number;
  downAtMs: number;
  /** Time until which it has not followed the list for a window. */
  unsureUntilMs: number;
  origins: StreamOrigins;
  history: VersionHistory;
  confirmedAtMs: number;
  /** Number of changes of the list's versions that it has seen. */
  seen: number;
  isCutOff: boolean;
  /** Streams that an entry began in the last window. */
  untold: UntoldStream[];
}

/** A stream as its client sees it. */
export interface ModelStream {
  readonly name: string;
  /** Names the client attempt that brought the first event, or the last one before. */
  key: string;
  remainingMs: number;
  /** Time since which a server writes. */
  runsSinceMs: number;
  /** Number of starts at servers, so that an end of an earlier one does not count. */
  starts: number;
  readonly beganBy: Set<string>;
  /** Tries since it broke off, and attempts of the client until the first event. */
  tries: number;
  attempts: number;
  tells: number;
  entry: ModelProcess | undefined;
  server: ModelServer | undefined;
  isTakenUp: boolean;
  isCounted: boolean;
  isOver: boolean;
  decidedBy: string;
}

/** Returns a process that is up; it sees changes of the list after `lagMs`. */
export function createProcess(name: string, lagMs: number): ModelProcess {
  return {
    name,
    lagMs,
    boot: 0,
    upAtMs: -Infinity,
    downAtMs: Infinity,
    unsureUntilMs: -Infinity,
    origins: new StreamOrigins({maxAgeMs: () => WINDOW_MS}),
    history: new VersionHistory(),
    confirmedAtMs: -Infinity,
    seen: 0,
    isCutOff: false,
    untold: [],
  };
}

/** Clears the memory of a process. */
export function forgetAll(process: ModelProcess): void {
  process.origins = new StreamOrigins({maxAgeMs: () => WINDOW_MS});
  process.history = new VersionHistory();
  process.confirmedAtMs = -Infinity;
  process.untold = [];
}

/** Returns a share of the items at random, rounded to a number. */
export function randomShare<T>(
  items: readonly T[],
  share: number,
  random: () => number,
): readonly T[] {
  const drawn = items.map(item => ({item, at: random()}));
  drawn.sort((a, b) => a.at - b.at);
  return drawn.slice(0, Math.round(share * items.length)).map(({item}) => item);
}

/** Returns the outcome of a play that has not begun. */
export function emptyOutcome(): ReleaseOutcome {
  return {
    mixes: [],
    started: 0,
    begun: 0,
    takenUp: 0,
    wentOn: 0,
    allTakenUp: 0,
    refusals: new Map(),
    tells: 0,
    calmTells: 0,
    mostTells: 0,
    mostQuestions: 0,
    mostRecords: 0,
  };
}

/** Returns up to `count` nodes that are told of a begun stream, see `keeperOf`. */
export function keepersOf(
  stream: string,
  nodes: readonly string[],
  own: string,
  count: number,
): readonly string[] {
  return nodesToAsk(stream, nodes)
    .filter(name => name !== own)
    .slice(0, count);
}

/**
 * Returns the candidates beside the asked nodes, or all if there are none. A stream that begins there is
 * known to two of the nodes that are asked for it.
 */
export function candidatesBeside<T>(
  asked: readonly string[],
  candidates: readonly T[],
  nodeOf: (candidate: T) => string,
): readonly T[] {
  const beside = candidates.filter(candidate =>
    asked.includes(nodeOf(candidate)),
  );
  return beside.length > 0 ? beside : candidates;
}
