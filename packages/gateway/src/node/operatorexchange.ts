/**
 * Exchange of the operator's changes between an entry and a target node. Each end
 * sends the revision that it knows. The end that is behind polls the store, and asks
 * the other end if the store does not answer.
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {distinctUntilChanged, map, skip} from 'rxjs';
import type {EventLog} from '@balsamnotch/daemon';
import {OperatorStateSchema, type OperatorState} from '@balsamnotch/wire';
import type {Directory} from './directory.js';
import type {ChangeSource} from './freshness.js';
import type {GatewayMetrics} from './metrics.js';
import {decodeChanges, encodeChanges} from './peers.js';

/**
 * Time that the store gets to answer before the other end is asked, in
 * milliseconds. A healthy store answers within a tenth of it.
 */
const STORE_HEAD_START_MS = 250;

/** Message fields that belong to the exchange. */
export interface OperatorMessage {
  readonly operatorState?: MessageInitShape<typeof OperatorStateSchema>;
  readonly wantsChanges?: boolean;
}

/** Message fields of the exchange, as received. */
export interface ReceivedOperatorMessage {
  readonly operatorState?: OperatorState;
  readonly wantsChanges: boolean;
}

/** One end of an exchange. */
export interface OperatorExchange {
  /** Handles a message from the other end. */
  readonly handleMessage: (message: ReceivedOperatorMessage) => void;
  readonly close: () => void;
}

/** Options of {@link answerOperatorMessage}. */
export interface OperatorMessageOptions {
  readonly directory: Directory;
  /** Kind of the other end, for logs and metrics. */
  readonly source: ChangeSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Options of {@link openOperatorExchange}. */
export interface OperatorExchangeOptions extends OperatorMessageOptions {
  readonly send: (message: OperatorMessage) => void;
  /**
   * Returns whether the state is sent to the other end when the exchange opens or a
   * change is adopted; otherwise the other end learns of it from the next message.
   */
  readonly isAnnounced?: () => boolean;
}

/**
 * Returns the revision and age of the operator's changes at a node, without the
 * changes themselves.
 */
export function operatorStateOf(directory: Directory): OperatorState {
  return create(OperatorStateSchema, {
    revision: directory.current().operatorRevision,
    ageMs: Math.round(directory.operatorAgeMs()),
  });
}

/** Returns the message that carries the operator's changes; undefined while they are not known. */
function changesMessage({
  directory,
  source,
  log,
  metrics,
}: OperatorMessageOptions): OperatorMessage | undefined {
  const publishedChanges = directory.operatorChanges();
  if (publishedChanges === undefined) return undefined;
  metrics.count('operator_changes_sent', source);
  log.info('operator_changes_sent', {
    to: source,
    revision: publishedChanges.revision,
  });
  const changes = encodeChanges(publishedChanges.changes);
  return {operatorState: {...operatorStateOf(directory), changes}};
}

/** Adopts the changes that a message of the other end carries, and its age. */
function adoptState(
  {revision, ageMs, changes}: OperatorState,
  {directory, source, log}: OperatorMessageOptions,
): void {
  if (changes !== '' && revision > directory.current().operatorRevision) {
    try {
      directory.adoptOperatorChanges(
        {revision, changes: decodeChanges(changes)},
        source,
      );
    } catch (error) {
      log.error('operator_changes_invalid', {
        source,
        message: (error as Error).message.slice(0, 120),
      });
    }
  }
  directory.confirmOperatorRevision(revision, ageMs);
}

/** Handles a single message outside an exchange, and returns the answer. */
export function answerOperatorMessage(
  {operatorState, wantsChanges}: ReceivedOperatorMessage,
  options: OperatorMessageOptions,
): OperatorMessage {
  if (operatorState !== undefined) adoptState(operatorState, options);
  const changes = wantsChanges ? changesMessage(options) : undefined;
  return changes ?? {operatorState: operatorStateOf(options.directory)};
}

/**
 * Opens one end. It sends the state of this node to the other end immediately
 * and after each change, unless `isAnnounced` returns false.
 */
export function openOperatorExchange({
  directory,
  source,
  send,
  log,
  metrics,
  isAnnounced = () => true,
}: OperatorExchangeOptions): OperatorExchange {
  let requestTimer: NodeJS.Timeout | undefined;
  const knownRevision = () => directory.current().operatorRevision;
  const sendState = () => send({operatorState: operatorStateOf(directory)});
  const announce = () => {
    if (isAnnounced()) sendState();
  };
  const sendChanges = () => {
    const message = changesMessage({directory, source, log, metrics});
    if (message !== undefined) send(message);
  };
  const scheduleRequest = (revision: number) => {
    requestTimer ??= setTimeout(() => {
      requestTimer = undefined;
      if (knownRevision() >= revision) return;
      if (directory.claimPeerRequest(send)) {
        metrics.count('operator_changes_asked', source);
        log.info('operator_changes_asked', {
          of: source,
          revision,
          known: knownRevision(),
        });
        send({wantsChanges: true});
      }
      scheduleRequest(revision);
    }, STORE_HEAD_START_MS);
  };
  const handleState = (state: OperatorState) => {
    const {revision} = state;
    adoptState(state, {directory, source, log, metrics});
    if (revision > knownRevision()) {
      directory.pollSoon();
      scheduleRequest(revision);
    } else if (revision < knownRevision()) {
      sendState();
    }
  };
  // The current state is skipped here: it is sent below, before any other message.
  const revisionSubscription = directory.state$
    .pipe(
      map(({operatorRevision}) => operatorRevision),
      distinctUntilChanged(),
      skip(1),
    )
    .subscribe(announce);
  announce();
  return {
    handleMessage: ({operatorState, wantsChanges}) => {
      if (wantsChanges) sendChanges();
      if (operatorState !== undefined) handleState(operatorState);
    },
    close: () => {
      revisionSubscription.unsubscribe();
      clearTimeout(requestTimer);
    },
  };
}
