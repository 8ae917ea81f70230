/**
 * Exchange of the operator's changes between an entry and a target node over
 * their stream. Each end sends the revision that it knows. The end that is
 * behind polls the store, and asks the other end if the store does not answer.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';
import {distinctUntilChanged, map, skip} from 'rxjs';
import type {EventLog} from '@balsamnotch/daemon';
import type {OperatorState, OperatorStateSchema} from '@balsamnotch/wire';
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

/** One end of an exchange. */
export interface OperatorExchange {
  /** Handles a message from the other end. */
  readonly handleMessage: (message: {
    readonly operatorState?: OperatorState;
    readonly wantsChanges: boolean;
  }) => void;
  readonly close: () => void;
}

/** Options of {@link openOperatorExchange}. */
export interface OperatorExchangeOptions {
  readonly directory: Directory;
  /** Kind of the other end, for logs and metrics. */
  readonly source: ChangeSource;
  readonly send: (message: OperatorMessage) => void;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/**
 * Returns the revision and age of the operator's changes at a node, without the
 * changes themselves.
 */
export function operatorStateOf(
  directory: Directory,
): MessageInitShape<typeof OperatorStateSchema> {
  return {
    revision: directory.current().operatorRevision,
    ageMs: Math.round(directory.operatorAgeMs()),
  };
}

/**
 * Opens one end. It sends the state of this node to the other end immediately
 * and after each change.
 */
export function openOperatorExchange({
  directory,
  source,
  send,
  log,
  metrics,
}: OperatorExchangeOptions): OperatorExchange {
  let requestTimer: NodeJS.Timeout | undefined;
  const knownRevision = () => directory.current().operatorRevision;
  const sendState = () => send({operatorState: operatorStateOf(directory)});
  const sendChanges = () => {
    const publishedChanges = directory.operatorChanges();
    if (publishedChanges === undefined) return;
    metrics.count('operator_changes_sent', source);
    log.info('operator_changes_sent', {
      to: source,
      revision: publishedChanges.revision,
    });
    const changes = encodeChanges(publishedChanges.changes);
    send({operatorState: {...operatorStateOf(directory), changes}});
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
  const handleState = ({revision, ageMs, changes}: OperatorState) => {
    if (changes !== '' && revision > knownRevision()) {
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
    .subscribe(sendState);
  sendState();
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
