/**
 * Exchange of published routes and targets between nodes while the platform's
 * store is unreachable.
 */
import {create} from '@bufbuild/protobuf';
import {createClient, type ConnectRouter} from '@connectrpc/connect';
import {serveConnect, transportTo, type EventLog} from '@balsamnotch/daemon';
import {
  comparePositions,
  isLaterPosition,
  START_POSITION,
  type RegisteredTarget,
  type RouteTable,
  type RoutedService,
  type StorePosition,
} from '@balsamnotch/core';
import {Peers, SnapshotResponseSchema} from '@balsamnotch/wire';
import type {Directory} from './directory.js';
import type {DirectoryAnswer, DirectoryChange} from './directorysource.js';
import type {GatewayMetrics} from './metrics.js';

/** Timeout of a request to a peer, in milliseconds; a peer that has left never answers. */
const REQUEST_TIMEOUT_MS = 600;

/** Idle time after which the connection to a peer closes, in milliseconds. */
const SESSION_IDLE_TIMEOUT_MS = 500;

/** JSON form of a route table. */
type TableDocument = Omit<RouteTable, 'services'> & {
  readonly services: ReadonlyArray<[string, RoutedService]>;
};

/** JSON form of the declared versions of the adapters of one model: adapters and versions alternately. */
interface VersionsDocument {
  readonly model: string;
  readonly versions: ReadonlyArray<string | number>;
}

/** JSON form of changes without adapter versions. */
type ChangeDocument =
  | Exclude<DirectoryChange, {kind: 'routes'}>
  | {readonly kind: 'routes'; readonly table: TableDocument};

/** JSON form of changes. Each adapter takes a few bytes, since a message holds those of 150,000. */
interface ChangesDocument {
  readonly format?: number;
  readonly changes: readonly ChangeDocument[];
  readonly adapters?: readonly VersionsDocument[];
  /** Whether the writer knows client accounts; absent in the release before. */
  readonly knowsAccounts?: boolean;
}

/**
 * Version of the JSON format; prevents a node from misreading changes written
 * by another release.
 */
const FORMAT = 2;

/** Earlier format, in which adapter versions are among the other changes. */
const EARLIER_FORMAT = 1;

/** Encodes changes as JSON. */
export function encodeChanges(changes: readonly DirectoryChange[]): string {
  const versionsByModel = new Map<string, Array<string | number>>();
  const written: ChangeDocument[] = [];
  for (const change of changes) {
    if (change.kind === 'adapter') {
      const versions = versionsByModel.get(change.model) ?? [];
      versionsByModel.set(change.model, versions);
      versions.push(change.adapter, change.version);
    } else if (change.kind === 'routes') {
      const {table} = change;
      const services = [...table.services];
      written.push({...change, table: {...table, services}});
    } else written.push(change);
  }
  const adapters = [...versionsByModel].map(([model, versions]) => ({
    model,
    versions,
  }));
  const document: ChangesDocument = {
    format: FORMAT,
    changes: written,
    adapters,
    knowsAccounts: true,
  };
  return JSON.stringify(document);
}

function decodeVersions({
  model,
  versions,
}: VersionsDocument): readonly DirectoryChange[] {
  const changes: DirectoryChange[] = [];
  for (let n = 0; n + 1 < versions.length; n += 2) {
    const adapter = String(versions[n]);
    const version = Number(versions[n + 1]);
    changes.push({kind: 'adapter', model, adapter, version});
  }
  return changes;
}

/** Adds what the release before leaves out. */
function decodeTarget(
  change: Extract<ChangeDocument, {kind: 'target'}>,
): DirectoryChange {
  const {target} = change;
  if (target === undefined) return change;
  const {softwareVersion = ''} = target as Partial<RegisteredTarget>;
  return {...change, target: {...target, softwareVersion}};
}

/** Parses JSON without the excerpt that a `SyntaxError` has, since the text contains keys of accounts. */
function parseDocument(text: string): ChangesDocument {
  try {
    return JSON.parse(text) as ChangesDocument;
  } catch {
    throw new Error('changes are not valid JSON');
  }
}

/**
 * Decodes the result of {@link encodeChanges}. Throws on invalid JSON and on an
 * unsupported format version.
 */
export function decodeChanges(text: string): readonly DirectoryChange[] {
  const {
    format,
    changes,
    adapters = [],
    knowsAccounts = false,
  } = parseDocument(text);
  if (format !== FORMAT && format !== EARLIER_FORMAT) {
    throw new Error(`format ${format}, not ${FORMAT}`);
  }
  const others = changes.map((change): DirectoryChange => {
    if (change.kind === 'target') return decodeTarget(change);
    if (change.kind !== 'routes') return change;
    const services = new Map(change.table.services);
    const table = {...change.table, services};
    return {
      kind: 'routes',
      table: knowsAccounts ? table : {...table, lacksAccounts: true},
    };
  });
  return [...others, ...adapters.flatMap(decodeVersions)];
}

/**
 * Requests a state later than the position from the next peer, or from all peers
 * if urgent. Resolves to the latest one, or to undefined when there is none.
 */
export type SnapshotFetcher = (
  after: StorePosition,
  isUrgent: boolean,
) => Promise<DirectoryAnswer | undefined>;

/**
 * Returns the latest of the snapshots with the operator's changes of all. A peer at an
 * earlier position may have versions in force that the store has lost since.
 */
function latestSnapshot(
  snapshots: readonly DirectoryAnswer[],
): DirectoryAnswer | undefined {
  const [latest, ...earlier] = [...snapshots].sort((a, b) =>
    comparePositions(b.position, a.position),
  );
  if (latest === undefined) return undefined;
  const operatorChanges = earlier.flatMap(({changes}) =>
    changes.filter(({kind}) => kind !== 'target'),
  );
  return {...latest, changes: [...latest.changes, ...operatorChanges]};
}

/**
 * Creates a fetcher that asks the peers in turn. `addresses` returns their
 * addresses, `ip:port`, and is called for each request.
 */
export function createSnapshotFetcher(
  addresses: () => readonly string[],
  name: string,
  log: EventLog,
): SnapshotFetcher {
  let nextIndex = Math.floor(Math.random() * Math.max(1, addresses().length));
  const requestSnapshot = async (
    address: string,
    after: StorePosition,
  ): Promise<DirectoryAnswer | undefined> => {
    try {
      const transport = transportTo(address, {
        idleConnectionTimeoutMs: SESSION_IDLE_TIMEOUT_MS,
      });
      const client = createClient(Peers, transport);
      const answer = await client.snapshot(
        {node: name, afterRevision: after.revision, afterEra: after.era},
        {timeoutMs: REQUEST_TIMEOUT_MS},
      );
      const position = {era: answer.era, revision: answer.revision};
      if (!isLaterPosition(position, after)) return undefined;
      const changes = decodeChanges(answer.changes);
      log.info('peer_snapshot', {address, ...position});
      const operatorPosition = {
        era: answer.operatorEra,
        revision: answer.operatorRevision,
      };
      return {changes, position, operatorPosition};
    } catch (error) {
      log.info('peer_failed', {
        address,
        message: (error as Error).message.slice(0, 120),
      });
      return undefined;
    }
  };
  return async (after, isUrgent) => {
    const current = addresses();
    const selectedAddresses = isUrgent
      ? current
      : current.slice(nextIndex % current.length).slice(0, 1);
    nextIndex += 1;
    const answers = await Promise.all(
      selectedAddresses.map(address => requestSnapshot(address, after)),
    );
    return latestSnapshot(answers.filter(answer => answer !== undefined));
  };
}

/** Serves snapshots of the directory to peers at `ip:port`; resolves once the server listens. */
export function servePeers(
  listen: string,
  directory: Directory,
  metrics: GatewayMetrics,
): Promise<{readonly close: () => Promise<void>}> {
  return serveConnect(listen, metrics, (router: ConnectRouter) =>
    router.service(Peers, {
      snapshot: ({afterRevision, afterEra}) => {
        metrics.count('peer_asked');
        const snapshot = directory.snapshot();
        const after = {era: afterEra, revision: afterRevision};
        if (
          snapshot === undefined ||
          !isLaterPosition(snapshot.position, after)
        ) {
          return create(SnapshotResponseSchema, {});
        }
        const {position, operatorPosition = START_POSITION} = snapshot;
        return create(SnapshotResponseSchema, {
          revision: position.revision,
          era: position.era,
          changes: encodeChanges(snapshot.changes),
          operatorRevision: operatorPosition.revision,
          operatorEra: operatorPosition.era,
        });
      },
    }),
  );
}
