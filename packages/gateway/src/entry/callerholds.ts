/** Counts what the connections of callers hold, and closes connections while that is above the budget. */
import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  HOLD_COST,
  headCost,
  piecesCost,
  planReleases,
  type ConnectionHold,
  type HoldLimits,
  type ReleaseReason,
} from '@balsamnotch/core';
import {createGarbageCollection} from './garbage.js';
import {createInputFeed} from './inputfeed.js';
import {createInputTurns, type TurnInput} from './inputturns.js';
import {receiveBody, type ReceivedBody} from './receivedbody.js';
import type {GatewayContext} from '../node/context.js';

/** Time between two counts of what no event tells: input of waiting requests and unread answers, in milliseconds. */
const COUNT_INTERVAL_MS = 100;

/**
 * Requests sent ahead above which a connection may be closed though an earlier request of it is at
 * a target: the slice of input that brings the last request before a wait can hold some tens more.
 */
const MAX_PROTECTED_AHEAD = 64;

/** Time to send the refusal of a request whose body is not read further, in milliseconds. */
const REFUSAL_MS = 500;

/** Bytes received and sent between two checks of the memory of the process, each of which reads a file of the system. */
const BYTES_BETWEEN_CHECKS = 1_048_576;

/** Refuses a request whose connection is closed for a reason. */
export type Refuse = (reason: string) => void;

/** A request that is being read or waits for its answer. */
export interface HeldRequest {
  readonly body: ReceivedBody;
  /** Sets how the request is refused while its body is being read; without it its connection is reset. */
  readonly setRefusal: (refuse: Refuse | undefined) => void;
  /** Records that the request may be sent to a target, so that its connection stays until it is answered. */
  readonly protect: () => void;
}

/** Options of {@link createCallerHolds}. */
export interface CallerHoldsOptions {
  readonly context: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>;
  readonly limits: HoldLimits;
  /** Longest body of a request, in bytes; undefined while it is not known. */
  readonly maxBodyBytes: () => number | undefined;
  /** Called before a connection is closed with a reason. */
  readonly onClose?: (socket: Socket, reason: string) => void;
}

/** What callers hold of one process. */
export interface CallerHolds {
  /** Counts the connections and requests of a server. It sees requests before other listeners. */
  readonly follow: (server: http.Server) => void;
  /** Returns the count of a request, or undefined if its connection has been closed. */
  readonly requestOf: (incoming: IncomingMessage) => HeldRequest | undefined;
  /** Records bytes of answers that the process receives. */
  readonly recordBytes: (bytes: number) => void;
  /** Returns what all connections hold together, in bytes. */
  readonly heldBytes: () => number;
  /** Gauges. */
  readonly status: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}

interface Connection extends ConnectionHold, TurnInput {
  readonly socket: Socket;
  bytes: number;
  progressAtMs: number;
  isProtected: boolean;
  /** Requests without a complete answer. */
  unanswered: number;
  headBytes: number;
  bodyBytes: number;
  pieces: number;
  pieceBytes: number;
  /** Pieces since the connection last waited for others, or the last count. */
  piecesInRow: number;
  /** Bytes of the bodies of requests that have not been started. */
  unstartedBytes: number;
  /** Requests and pieces since it was opened. */
  parts: number;
  /** Bytes that had been parsed when the connection was last idle. */
  idleBytes: number;
  /** Whether its last answer was complete before the body of that request. */
  isBodyUnneeded: boolean;
  /** The last request that was read, and its body. */
  last?: IncomingMessage;
  lastBody?: ReceivedBody;
  /** The response to the request at a target. */
  forwarded?: ServerResponse;
  refuse?: Refuse;
}

/** Reason for which a connection is closed that goes on with a body that nobody needs. */
const REASON_UNNEEDED_BODY = 'unneeded_body';

/** Reason for which a connection is closed whose small pieces keep others waiting. */
const REASON_PIECES = 'pieces';

/** What the server's parser of a connection returns to be given no more of the input that was read. */
const PARSER_STOP = 2;

/** Drops the heads in the rest of a slice, which Node.js parses also after the connection was closed. */
function stopParsing(socket: Socket): void {
  const {parser} = socket as Socket & {parser?: {onIncoming?: () => number}};
  if (parser?.onIncoming) parser.onIncoming = () => PARSER_STOP;
}

/** Creates a count without connections. */
export function createCallerHolds({
  context: {clock, log, metrics},
  limits,
  maxBodyBytes,
  onClose = () => undefined,
}: CallerHoldsOptions): CallerHolds {
  const connections = new Map<Socket, Connection>();
  const requests = new WeakMap<IncomingMessage, HeldRequest>();
  /** Sum of the bytes of all connections. */
  let heldBytes = 0;
  let closedSinceLog = 0;
  const garbage = createGarbageCollection({clock, metrics}, limits.memoryBytes);
  let bytesSinceCheck = 0;
  /** Checks the memory of the process while bytes are moved: one turn of the event loop can move very many. */
  const recordBytes = (bytes: number) => {
    bytesSinceCheck += bytes;
    if (bytesSinceCheck < BYTES_BETWEEN_CHECKS) return;
    bytesSinceCheck = 0;
    garbage.collectIfDue();
  };
  const inputBytes = ({socket, idleBytes}: Connection) =>
    Math.max(0, socket.bytesRead - idleBytes);
  const parsedBytes = ({socket, feed}: Connection) =>
    socket.bytesRead - feed.unparsedBytes();
  /** Forgets the input of requests that are answered and have been read to their end. */
  const startAnew = (connection: Connection) => {
    if (connection.last?.complete !== true) return;
    connection.isBodyUnneeded = false;
    connection.pieces = 0;
    connection.pieceBytes = 0;
    connection.idleBytes = parsedBytes(connection);
  };
  const count = (connection: Connection) => {
    if (connection.isBodyUnneeded) startAnew(connection);
    const {forwarded, unanswered, headBytes, bodyBytes} = connection;
    const bytes =
      HOLD_COST.connection +
      headBytes +
      Math.max(bodyBytes, inputBytes(connection)) +
      piecesCost(connection.pieces, limits) +
      connection.socket.writableLength;
    heldBytes += bytes - connection.bytes;
    connection.bytes = bytes;
    connection.isProtected =
      forwarded !== undefined &&
      !forwarded.writableEnded &&
      unanswered <= MAX_PROTECTED_AHEAD;
  };
  const remove = (connection: Connection) => {
    if (!connections.delete(connection.socket)) return;
    heldBytes -= connection.bytes;
  };
  const close = (connection: Connection, reason: string) => {
    const {socket, refuse, feed, lastBody} = connection;
    remove(connection);
    feed.drop();
    stopParsing(socket);
    lastBody?.drop();
    metrics.count('caller_closed', reason);
    closedSinceLog += 1;
    onClose(socket, reason);
    if (refuse === undefined) {
      socket.destroy();
      return;
    }
    refuse(reason);
    const timer = setTimeout(() => socket.destroy(), REFUSAL_MS);
    socket.once('close', () => clearTimeout(timer));
  };
  const isAbove = () =>
    heldBytes > limits.maxBytes || connections.size > limits.maxConnections;
  const release = () => {
    if (!isAbove()) return;
    for (const connection of connections.values()) count(connection);
    const releases = planReleases([...connections.values()], limits);
    for (const {hold, reason} of releases) {
      close(hold, reason satisfies ReleaseReason);
    }
  };
  const turns = createInputTurns<Connection>(connection =>
    close(connection, REASON_PIECES),
  );
  const handleSlice = (connection: Connection) => {
    if (!connection.isOpen()) return;
    count(connection);
    release();
    if (connection.isOpen()) turns.handleSlice(connection);
  };
  const handleConnection = (socket: Socket) => {
    const connection: Connection = {
      socket,
      address: socket.remoteAddress ?? '',
      bytes: 0,
      progressAtMs: clock.monotonicMs(),
      isProtected: false,
      isOpen: () => connections.has(socket),
      unanswered: 0,
      headBytes: 0,
      bodyBytes: 0,
      pieces: 0,
      pieceBytes: 0,
      piecesInRow: 0,
      unstartedBytes: 0,
      parts: 0,
      idleBytes: 0,
      isBodyUnneeded: false,
      feed: createInputFeed(socket, {
        parts: () => connection.parts,
        onSlice: () => handleSlice(connection),
      }),
    };
    connections.set(socket, connection);
    socket.on('close', () => remove(connection));
    count(connection);
    release();
  };
  const handleRequest = (
    incoming: IncomingMessage,
    response: ServerResponse,
  ) => {
    const {socket} = incoming;
    const headBytes = headCost(incoming.rawHeaders);
    // Also for a closed connection: the rest of what was read with its last request is still parsed.
    recordBytes(headBytes);
    const connection = connections.get(socket);
    if (connection === undefined) return;
    let bodyBytes = 0;
    let isUnstarted = true;
    connection.isBodyUnneeded = false;
    connection.last = incoming;
    connection.unanswered += 1;
    connection.parts += 1;
    connection.headBytes += headBytes;
    connection.progressAtMs = clock.monotonicMs();
    const recordStart = () => {
      if (!isUnstarted) return;
      isUnstarted = false;
      connection.unstartedBytes -= bodyBytes;
      turns.handleStart(connection);
    };
    const body = receiveBody(incoming, {
      limitBytes: maxBodyBytes() ?? Infinity,
      onPiece: (bytes, keptBytes) => {
        bodyBytes += keptBytes;
        connection.bodyBytes += keptBytes;
        if (isUnstarted) connection.unstartedBytes += keptBytes;
        connection.pieces += 1;
        connection.pieceBytes += bytes;
        connection.piecesInRow += 1;
        connection.parts += 1;
        turns.recordPiece();
        recordBytes(keptBytes + HOLD_COST.piece);
      },
      // The connection ends with the answer.
      onTooLong: () => connection.feed.drop(),
      onWanted: recordStart,
    });
    connection.lastBody = body;
    // The answer has been handed over; what its caller has not taken waits in the process.
    response.once('prefinish', () =>
      process.nextTick(() => {
        if (!connection.isOpen()) return;
        count(connection);
        release();
      }),
    );
    response.once('close', () => {
      // Some are answered without a start.
      recordStart();
      connection.unanswered -= 1;
      connection.headBytes -= headBytes;
      connection.bodyBytes -= bodyBytes;
      connection.refuse = undefined;
      connection.progressAtMs = clock.monotonicMs();
      if (connection.forwarded === response) connection.forwarded = undefined;
      if (connection.unanswered === 0) {
        connection.isBodyUnneeded = true;
        startAnew(connection);
      }
      if (!connection.isOpen()) return;
      count(connection);
      turns.handleAnswer(connection);
    });
    requests.set(incoming, {
      body,
      setRefusal: refuse => {
        connection.refuse = refuse;
      },
      protect: () => {
        connection.forwarded = response;
      },
    });
    count(connection);
    release();
  };
  const closeUnneeded = (connection: Connection) => {
    if (!connection.isBodyUnneeded) return;
    // The answer was complete before the body. Bodies inside the limit are read to their end.
    if (inputBytes(connection) > (maxBodyBytes() ?? 0)) {
      close(connection, REASON_UNNEEDED_BODY);
    }
  };
  const timer = setInterval(() => {
    garbage.collectIfDue();
    for (const connection of [...connections.values()]) {
      connection.piecesInRow = 0;
      count(connection);
      closeUnneeded(connection);
    }
    release();
    if (closedSinceLog === 0) return;
    log.warn('callers_closed', {
      closed: closedSinceLog,
      held_bytes: heldBytes,
      held_bytes_limit: limits.maxBytes,
      connections: connections.size,
      connections_limit: limits.maxConnections,
    });
    closedSinceLog = 0;
  }, COUNT_INTERVAL_MS);
  timer.unref();
  return {
    follow: server => {
      // After the listener of Node.js, which expects an open connection.
      server.on('connection', handleConnection);
      server.prependListener('request', handleRequest);
    },
    requestOf: incoming =>
      connections.has(incoming.socket) ? requests.get(incoming) : undefined,
    recordBytes,
    heldBytes: () => heldBytes,
    status: () => ({
      caller_bytes_held: heldBytes,
      caller_bytes_limit: limits.maxBytes,
      caller_connections: connections.size,
      caller_connections_limit: limits.maxConnections,
    }),
    close: () => clearInterval(timer),
  };
}
