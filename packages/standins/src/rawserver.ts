/** A server that answers with given bytes, whatever they are, for tests of broken answers. */
import net, {type AddressInfo, type Socket} from 'node:net';

/** How the server ends the connection after its answer. */
export const RAW_END = {
  /** Resets it. */
  reset: 'reset',
  /** Closes its side in order, and reads no more of the request. */
  close: 'close',
  /** Closes both sides at once, which resets the connection if a part of the request is unread. */
  destroy: 'destroy',
  /** Leaves it open. */
  none: 'none',
} as const;

/** One of the values of {@link RAW_END}. */
export type RawEnd = (typeof RAW_END)[keyof typeof RAW_END];

/** How an answer says where it ends. */
export const RAW_FRAMING = {
  length: 'length',
  chunks: 'chunks',
  /** Ends with its connection. */
  untilClose: 'until_close',
} as const;

/** One of the values of {@link RAW_FRAMING}. */
export type RawFraming = (typeof RAW_FRAMING)[keyof typeof RAW_FRAMING];

/** An answer to one request. */
export interface RawAnswer {
  readonly bytes: string;
  readonly end: RawEnd;
  /** Time from the answer to this end, in milliseconds; default: 0. */
  readonly endAfterMs?: number;
}

/** Parts of the head and body of {@link answerBytes}. */
export interface AnswerParts {
  readonly version?: '1.0' | '1.1';
  /** Text at the place of the status; default: 200. */
  readonly status?: string;
  readonly framing?: RawFraming;
  readonly headers?: readonly string[];
  readonly body?: string;
  /** Number of bytes of the body that are missing; default: 0. */
  readonly missingBytes?: number;
}

/** Returns an answer; one in chunks from which bytes are missing has no last chunk. */
export function answerBytes({
  version = '1.1',
  status = '200',
  framing = RAW_FRAMING.length,
  headers = [],
  body = '',
  missingBytes = 0,
}: AnswerParts): string {
  const sent = body.slice(0, body.length - missingBytes);
  const lastChunk = missingBytes > 0 ? '' : '0\r\n\r\n';
  const framed = {
    [RAW_FRAMING.length]: {head: `Content-Length: ${body.length}`, sent},
    [RAW_FRAMING.chunks]: {
      head: 'Transfer-Encoding: chunked',
      sent: `${sent.length.toString(16)}\r\n${sent}\r\n${lastChunk}`,
    },
    [RAW_FRAMING.untilClose]: {head: 'Connection: close', sent},
  }[framing];
  const head = [`HTTP/${version} ${status} x`, framed.head, ...headers];
  return `${head.join('\r\n')}\r\n\r\n${framed.sent}`;
}

/** A running server. */
export interface RawServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/**
 * Starts a server on loopback that answers the first bytes of each request at once, and reads no
 * more of it. `answerTo` gets these bytes, and returns undefined to read on.
 */
export async function startRawServer(
  answerTo: (request: string) => RawAnswer | undefined,
  host = '127.0.0.1',
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let request = '';
    socket.on('data', data => {
      request += data.toString('latin1');
      if (!request.includes('\r\n\r\n')) return;
      const answer = answerTo(request);
      if (answer === undefined) return;
      request = '';
      if (answer.end !== RAW_END.none) socket.pause();
      const end = () => {
        if (answer.end === RAW_END.reset) socket.resetAndDestroy();
        else if (answer.end === RAW_END.destroy) socket.destroy();
        else if (answer.end === RAW_END.close) socket.end();
      };
      socket.write(answer.bytes, 'latin1', () => {
        if (answer.endAfterMs === undefined) end();
        else setTimeout(end, answer.endAfterMs);
      });
    });
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  return {
    port: (server.address() as AddressInfo).port,
    close: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
