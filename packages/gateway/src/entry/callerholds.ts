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
import type {GatewayContext} from '../node/context.js';

/** Time between two counts of what no event tells: input of waiting requests and unread answers, in milliseconds. */
const COUNT_INTERVAL_MS = 100;

/** Unanswered requests of a connection from which on it is not read. */
const MAX_REQUESTS_AHEAD = 16;

/** Unanswered requests of such a connection down to which it waits for its turn to be read again. */
const RESUMED_REQUESTS_AHEAD = 4;

/**
 * Requests sent ahead above which a connection may be closed though an earlier request of it is at
 * a target: one piece of input, up to 64 KiB, can hold some thousands.
 */
const MAX_PROTECTED_AHEAD = 64;

/**
 * Pieces of bodies that a connection may bring in a row before others are read: one turn of the event
 * loop reads up to 2 MB of a connection, which can be some hundred thousand pieces.
 */
const MAX_PIECES_IN_ROW = 512;

/** Time to send the refusal of a request whose body is not read further, in milliseconds. */
const REFUSAL_MS = 500;

/** Bytes received and sent between two checks of the memory of the process, each of which reads a file of the system. */
const BYTES_BETWEEN_CHECKS = 1_048_576;

/** A request that is being read or waits for its answer. */
export interface HeldRequest {
  /** Counts a piece of the body, with 0 bytes if it is not kept. Returns false if the connection has been closed for it. */
  readonly addPiece: (bytes: number) => boolean;
  /** Sets how the request is refused while its body is being read; without it its connection is reset. */
  readonly setRefusal: (refuse: (() => void) | undefined) => void;
  /** Records that the request may be sent to a target, so that its connection stays until it is answered. */
  readonly protect: () => void;
}

/** Options of {@link createCallerHolds}. */
export interface CallerHoldsOptions {
  readonly context: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>;
  readonly limits: HoldLimits;
  /** Longest body of a request, in bytes. */
  readonly maxBodyBytes: () => number;
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
  /** Gauges. */
  readonly status: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}

interface Connection extends ConnectionHold {
  readonly socket: Socket;
  bytes: number;
  progressAtMs: number;
  isProtected: boolean;
  /** Requests without a complete answer. */
  unanswered: number;
  headBytes: number;
  bodyBytes: number;
  pieces: number;
  /** Pieces since the connection was last held for them, or the last count. */
  piecesInRow: number;
  /** Bytes that had been read when the connection was last idle. */
  idleBytes: number;
  /** Whether it is not read since it has sent many requests ahead, or many pieces in a row. */
  isHeld: boolean;
  /** Whether its last answer was complete before the body of that request. */
  isBodyUnneeded: boolean;
  /** The last request that was read. */
  last?: IncomingMessage;
  /** The response to the request at a target. */
  forwarded?: ServerResponse;
  refuse?: () => void;
}

const TRANSFER_ENCODING = 'transfer-encoding';

/** Reason for which a connection is closed that goes on with a body that nobody needs. */
const REASON_UNNEEDED_BODY = 'unneeded_body';

/** Reads the body of a request and drops it. */
export function discardBody(
  incoming: IncomingMessage,
  held: HeldRequest | undefined,
): void {
  incoming.on('data', () => held?.addPiece(0));
}

/** Returns whether a request has a body in chunks, without the cost of all its headers as an object. */
function isChunked({rawHeaders}: IncomingMessage): boolean {
  return rawHeaders.some(
    text =>
      text.length === TRANSFER_ENCODING.length &&
      text.toLowerCase() === TRANSFER_ENCODING,
  );
}

/** What the server's parser of a connection returns to be given no more of the input that was read. */
const PARSER_STOP = 2;

/**
 * Drops input of a connection that was read and not parsed. A read of 64 KiB can hold some thousand
 * requests, and Node.js parses them all, also after the connection was closed.
 */
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
  /** Forgets the input of requests that are answered and have been read to their end. */
  const startAnew = (connection: Connection) => {
    if (connection.last?.complete !== true) return;
    connection.isBodyUnneeded = false;
    connection.pieces = 0;
    connection.idleBytes = connection.socket.bytesRead;
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
    const {socket, refuse} = connection;
    remove(connection);
    stopParsing(socket);
    metrics.count('caller_closed', reason);
    closedSinceLog += 1;
    onClose(socket, reason);
    if (refuse === undefined) {
      socket.destroy();
      return;
    }
    socket.pause();
    socket.on('resume', () => socket.pause());
    refuse();
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
  /** Held connections that may be read again, in turn. */
  const resumable: Connection[] = [];
  let isResumeScheduled = false;
  /**
   * Reads one held connection in each turn of the event loop: a single read can bring some thousand
   * requests, and those of all held connections together would keep others waiting for seconds.
   */
  const resumeNext = () => {
    isResumeScheduled = false;
    const connection = resumable.shift();
    if (connection === undefined) return;
    connection.isHeld = false;
    connection.piecesInRow = 0;
    if (connections.has(connection.socket)) connection.socket.resume();
    scheduleResume();
  };
  const scheduleResume = () => {
    if (isResumeScheduled || resumable.length === 0) return;
    isResumeScheduled = true;
    setImmediate(resumeNext);
  };
  const limitPieces = (connection: Connection) => {
    connection.piecesInRow += 1;
    if (connection.isHeld || connection.piecesInRow < MAX_PIECES_IN_ROW) return;
    connection.isHeld = true;
    connection.socket.pause();
    resumable.push(connection);
    scheduleResume();
  };
  const handleConnection = (socket: Socket) => {
    const connection: Connection = {
      socket,
      address: socket.remoteAddress ?? '',
      bytes: 0,
      progressAtMs: clock.monotonicMs(),
      isProtected: false,
      unanswered: 0,
      headBytes: 0,
      bodyBytes: 0,
      pieces: 0,
      piecesInRow: 0,
      idleBytes: 0,
      isHeld: false,
      isBodyUnneeded: false,
    };
    connections.set(socket, connection);
    socket.on('close', () => remove(connection));
    socket.on('resume', () => {
      if (connection.isHeld) socket.pause();
    });
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
    connection.isBodyUnneeded = false;
    connection.last = incoming;
    connection.unanswered += 1;
    connection.headBytes += headBytes;
    connection.progressAtMs = clock.monotonicMs();
    // Until the request is started, each chunk waits as an object of its own; one read can bring some ten
    // thousand. Node.js reads on when the body is read, or is complete.
    if (isChunked(incoming)) socket.pause();
    if (connection.unanswered >= MAX_REQUESTS_AHEAD) {
      connection.isHeld = true;
      socket.pause();
    }
    // The answer has been handed over; what its caller has not taken waits in the process.
    response.once('prefinish', () =>
      process.nextTick(() => {
        if (!connections.has(socket)) return;
        count(connection);
        release();
      }),
    );
    response.once('close', () => {
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
      if (!connections.has(socket)) return;
      count(connection);
      if (
        connection.isHeld &&
        connection.unanswered === RESUMED_REQUESTS_AHEAD
      ) {
        resumable.push(connection);
        scheduleResume();
      }
    });
    requests.set(incoming, {
      addPiece: bytes => {
        bodyBytes += bytes;
        connection.bodyBytes += bytes;
        connection.pieces += 1;
        recordBytes(bytes + HOLD_COST.piece);
        if (!connections.has(socket)) return false;
        limitPieces(connection);
        count(connection);
        release();
        return connections.has(socket);
      },
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
    if (inputBytes(connection) > maxBodyBytes()) {
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
    status: () => ({
      caller_bytes_held: heldBytes,
      caller_bytes_limit: limits.maxBytes,
      caller_connections: connections.size,
      caller_connections_limit: limits.maxConnections,
    }),
    close: () => clearInterval(timer),
  };
}
