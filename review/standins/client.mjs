/** A client that reads an answer from the socket, and judges its framing as HTTP/1.1 tells. */
import net from 'node:net';

/**
 * Sends one request on a connection of its own. Resolves when the connection has ended: `end` is
 * `closed` (a regular end), `reset`, or `given up` after `timeoutMs`.
 */
export function call({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body = '',
  timeoutMs = 60_000,
  onData = () => undefined,
}) {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const chunks = [];
    let isReset = false;
    let isLate = false;
    const timer = setTimeout(() => {
      isLate = true;
      socket.destroy();
    }, timeoutMs);
    const finish = end => {
      const bytes = Buffer.concat(chunks);
      const split = bytes.indexOf('\r\n\r\n');
      const head = split < 0 ? '' : bytes.subarray(0, split).toString('latin1');
      resolve({
        end,
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
        head,
        body: split < 0 ? '' : bytes.subarray(split + 4).toString('latin1'),
      });
    };
    socket.on('connect', () => {
      const lines = [`${method} ${path} HTTP/1.1`];
      const all = {Host: 'novias.example', ...headers};
      if (method !== 'GET') all['Content-Length'] = Buffer.byteLength(body);
      for (const [name, value] of Object.entries(all))
        lines.push(`${name}: ${value}`);
      socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
    });
    socket.on('data', data => {
      chunks.push(data);
      onData(data, socket);
    });
    socket.on('error', () => {
      isReset = true;
    });
    // Node.js reports a reset that arrives together with data as a regular end, but the socket has
    // no peer then.
    socket.on('end', () => {
      isReset ||= socket.remoteAddress === undefined;
    });
    socket.on('close', () => {
      clearTimeout(timer);
      finish(isLate ? 'given up' : isReset ? 'reset' : 'closed');
    });
  });
}

/**
 * Returns whether HTTP/1.1 takes the answer for complete, and its body without framing. An answer
 * with neither a length nor chunks is complete when its connection ends without a reset.
 */
export function judge({end, head, body}) {
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length !== undefined) {
    return {
      isComplete: body.length >= Number(length),
      text: body.slice(0, Number(length)),
    };
  }
  if (/^transfer-encoding: *chunked/im.test(head)) {
    let rest = body;
    let text = '';
    for (;;) {
      const size = /^([0-9a-f]+)\r\n/i.exec(rest);
      if (size === null) return {isComplete: false, text};
      const bytes = parseInt(size[1], 16);
      const start = size[0].length;
      if (bytes === 0)
        return {isComplete: rest.slice(start).startsWith('\r\n'), text};
      text += rest.slice(start, start + bytes);
      if (rest.length < start + bytes + 2) return {isComplete: false, text};
      rest = rest.slice(start + bytes + 2);
    }
  }
  return {isComplete: head !== '' && end === 'closed', text: body};
}
