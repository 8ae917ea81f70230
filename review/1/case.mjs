/**
 * An entry is killed while it forwards streams that have neither a length nor chunks. Their callers
 * must be able to see that the streams were broken off.
 */
import {call, judge} from '../standins/client.mjs';
import {configuration} from '../standins/config.mjs';
import {runCase, sleep, waitUntil} from '../standins/deployment.mjs';
import {sealed, startServer} from '../standins/servers.mjs';

const STREAMS = 8;
/** Events of a stream, and the time between two of them. */
const EVENTS = 14;
const EVENT_MS = 100;
/** Time from the first event to the kill. */
const KILL_AFTER_MS = 500;

await runCase(
  new URL('.', import.meta.url),
  async ({deployment, record, hasTrouble}) => {
    const {store, ipOf, closers} = deployment;
    const answer = (request, response, id) => {
      record('server runs', {
        id,
        last_event_id: request.headers['last-event-id'] ?? '-',
      });
      // Neither a length nor chunks: the answer ends with its connection.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(
        200,
        sealed(id, {'Content-Type': 'text/event-stream', Connection: 'close'}),
      );
      let next = 1;
      const timer = setInterval(() => {
        response.write(`id: ${next}\ndata: ${id} piece ${next}\n\n`);
        next += 1;
        if (next <= EVENTS) return;
        clearInterval(timer);
        response.end();
        record('server finished', {id});
      }, EVENT_MS);
      response.on('close', () => {
        clearInterval(timer);
        if (!response.writableEnded)
          record('server: connection lost', {id, events: next - 1});
      });
    };
    const engine = await startServer({
      host: ipOf(101),
      id: 'i-engine',
      service: 'asistente',
      isEngine: true,
      adapters: ['a1@1'],
      answer,
    });
    closers.push(engine.close);
    store.put('op/config', configuration());
    store.put(`servers/${engine.id}`, engine.registration());
    const target = deployment.startTarget(101, engine.address, 'asistente');
    const entry = await deployment.startEntry(1);
    await waitUntil(
      () => entry.log().includes('target_node_regained'),
      'the target node answers',
    );

    let begun = 0;
    const calls = Array.from({length: STREAMS}, async (_, n) => {
      const id = `stream-${n}`;
      record('client sends', {id});
      let hasBegun = false;
      const result = await call({
        host: entry.host,
        port: entry.port,
        method: 'POST',
        path: '/chat/2f',
        body: 'hello',
        headers: {
          'Balsamnotch-Request-Id': id,
          'Balsamnotch-Deadline-Ms': 5001,
          'Balsamnotch-Model': 'm0/a1',
          'Balsamnotch-Token-Count': '646,70',
          'Balsamnotch-Prompt-Prefix': `5c1e07a2:155,${(4096 + n).toString(16)}:491`,
        },
        onData: data => {
          if (!hasBegun && data.includes('id: 1')) {
            hasBegun = true;
            begun += 1;
          }
        },
      });
      return {id, ...result};
    });
    await waitUntil(() => begun === STREAMS, 'all streams have begun');
    await sleep(KILL_AFTER_MS);
    if (hasTrouble) entry.signal('SIGKILL');
    const violations = [];
    for (const result of await Promise.all(calls)) {
      const {isComplete, text} = judge(result);
      const events = (text.match(/^id: /gm) ?? []).length;
      record('client received', {
        id: result.id,
        status: result.status,
        connection: result.end,
        looks_complete: isComplete,
        ends_between_events: text.endsWith('\n\n'),
        events,
      });
      if (result.status === 200 && isComplete && events < EVENTS) {
        violations.push(
          `${result.id} looks complete after ${events} of ${EVENTS} events`,
        );
      }
      if (!hasTrouble && events !== EVENTS)
        violations.push(`${result.id} lacks events`);
    }
    target.signal('SIGTERM');
    return violations;
  },
);
