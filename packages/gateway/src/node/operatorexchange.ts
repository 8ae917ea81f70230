/**
 * Exchange of the operator's changes between an entry and a target node. Each end
 * sends the position that it knows, and a digest of its versions. The end that is
 * behind polls the store, and asks the other end if the store does not answer.
 *
 * A store that returns from an older copy loses versions that some nodes have in force.
 * Nodes at one position with different digests therefore ask each other, and each keeps
 * the later versions.
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {distinctUntilChanged, map, skip} from 'rxjs';
import {
  comparePositions,
  isLaterPosition,
  mayLackChanges,
  type KnownChanges,
} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import {OperatorStateSchema, type OperatorState} from '@balsamnotch/wire';
import type {Directory} from './directory.js';
import {knownChangesOf} from './directorystate.js';
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

const knownChangesAt = (directory: Directory) =>
  knownChangesOf(directory.current());

function isSameKnowledge(a: KnownChanges, b: KnownChanges): boolean {
  return (
    a.digest === b.digest && comparePositions(a.position, b.position) === 0
  );
}

/** Returns what the sender of a state knows. */
function receivedChangesOf({
  era,
  revision,
  digest,
  routesVersion,
}: OperatorState): KnownChanges {
  return {position: {era, revision}, digest, routesVersion};
}

/**
 * Returns the position and age of the operator's changes at a node, without the
 * changes themselves.
 */
export function operatorStateOf(directory: Directory): OperatorState {
  const {position, digest, routesVersion} = knownChangesAt(directory);
  return create(OperatorStateSchema, {
    routesVersion,
    revision: position.revision,
    era: position.era,
    digest,
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
    ...publishedChanges.position,
  });
  const changes = encodeChanges(publishedChanges.changes);
  return {operatorState: {...operatorStateOf(directory), changes}};
}

/** Adopts the changes that a message of the other end carries, and its age. */
function adoptState(
  state: OperatorState,
  {directory, source, log}: OperatorMessageOptions,
): void {
  const received = receivedChangesOf(state);
  const {position} = received;
  directory.recordStatedRoutes(state.routesVersion, source);
  if (
    state.changes !== '' &&
    mayLackChanges(knownChangesAt(directory), received)
  ) {
    try {
      const changes = decodeChanges(state.changes);
      directory.adoptOperatorChanges({position, changes}, source);
    } catch (error) {
      log.error('operator_changes_invalid', {
        source,
        message: (error as Error).message.slice(0, 120),
      });
    }
  }
  directory.confirmOperatorPosition(position, state.ageMs);
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
  /** What the other end knew when it last sent its state. */
  let received: KnownChanges | undefined;
  const known = () => knownChangesAt(directory);
  const isBehind = () =>
    received !== undefined && mayLackChanges(known(), received);
  const sendState = () => send({operatorState: operatorStateOf(directory)});
  const announce = () => {
    if (isAnnounced()) sendState();
  };
  const sendChanges = () => {
    const message = changesMessage({directory, source, log, metrics});
    if (message !== undefined) send(message);
  };
  const scheduleRequest = () => {
    requestTimer ??= setTimeout(() => {
      requestTimer = undefined;
      if (!isBehind()) return;
      if (directory.claimPeerRequest(send)) {
        metrics.count('operator_changes_asked', source);
        log.info('operator_changes_asked', {
          of: source,
          ...received?.position,
          known_era: known().position.era,
          known_revision: known().position.revision,
        });
        send({wantsChanges: true});
      }
      scheduleRequest();
    }, STORE_HEAD_START_MS);
  };
  const handleState = (state: OperatorState) => {
    const stated = receivedChangesOf(state);
    received = stated;
    adoptState(state, {directory, source, log, metrics});
    if (isLaterPosition(stated.position, known().position)) {
      directory.pollSoon();
      scheduleRequest();
      return;
    }
    if (isLaterPosition(known().position, stated.position)) sendState();
    if (isBehind()) {
      // After its changes were adopted, only this end can have more.
      if (state.changes === '') scheduleRequest();
      else sendState();
    }
  };
  // The current state is skipped here: it is sent below, before any other message.
  const changesSubscription = directory.state$
    .pipe(map(knownChangesOf), distinctUntilChanged(isSameKnowledge), skip(1))
    .subscribe(announce);
  announce();
  return {
    handleMessage: ({operatorState, wantsChanges}) => {
      if (wantsChanges) sendChanges();
      if (operatorState !== undefined) handleState(operatorState);
    },
    close: () => {
      changesSubscription.unsubscribe();
      clearTimeout(requestTimer);
    },
  };
}
