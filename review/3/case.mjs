/**
 * All processes of the system are killed while 16,000 of the 24,000 adapters have a declared
 * version. Requests to a plain service must be served again within `recovery_s`.
 */
import {call, judge} from '../standins/client.mjs';
import {configuration} from '../standins/config.mjs';
import {runCase, sleep} from '../standins/deployment.mjs';
import {sealed, startServer} from '../standins/servers.mjs';

/** The installation has 24,000 adapters; each may have one declared version. */
const DECLARED_VERSIONS = 16_000;
/** `recovery_s` of the installation. */
const RECOVERY_MS = 15_000;
/** Time for which the processes are down, as `down_s` of the final fault. */
const DOWN_MS = 800;
/** Time for which requests are sent before the fault, and after the recovery. */
const MEASURED_MS = 4_000;
const REQUESTS_PER_S = 20;
/** Deadline of `confirma-cita` in the installation. */
const DEADLINE_MS = 1_534;
/** A start takes less than this on a machine half as fast as ours, and leaves time for the rest. */
const START_TIMEOUT_MS = 84_000;

await runCase(
  new URL('.', import.meta.url),
  async ({deployment, record, hasTrouble}) => {
    const {store, ipOf, closers} = deployment;
    const server = await startServer({
      host: ipOf(110),
      id: 'i-reservas',
      service: 'reservas',
      slots: 6,
      answer: (request, response, id) => {
        setTimeout(() => {
          response.writeHead(200, sealed(id, {'Content-Length': 2}));
          response.end('ok');
        }, 21);
      },
    });
    closers.push(server.close);
    store.put('op/config', configuration());
    store.put(`servers/${server.id}`, server.registration());
    for (let n = 1; n <= DECLARED_VERSIONS; n++) {
      store.put(`op/version/m0.a${n}`, {
        model: 'm0',
        adapter: `a${n}`,
        version: 1,
      });
    }
    record('declared', {versions: DECLARED_VERSIONS});

    let entry = await deployment.startEntry(1, START_TIMEOUT_MS);
    record('ready');

    let sent = 0;
    const request = async phase => {
      const id = `${phase}-${sent++}`;
      const {host, port} = entry;
      const result = await call({
        host,
        port,
        method: 'POST',
        path: '/confirma/2f',
        body: 'b',
        timeoutMs: DEADLINE_MS,
        headers: {
          'Balsamnotch-Request-Id': id,
          'Balsamnotch-Deadline-Ms': DEADLINE_MS,
          Connection: 'close',
        },
      });
      const isServed = result.status === 200 && judge(result).isComplete;
      record('request', {
        id,
        status: result.status || 'none',
        connection: result.end,
      });
      return isServed;
    };
    /** Sends requests at a steady rate; resolves to the share that was served. */
    const servedShare = async phase => {
      const requests = [];
      for (let n = 0; n < (MEASURED_MS / 1_000) * REQUESTS_PER_S; n++) {
        requests.push(request(phase));
        await sleep(1_000 / REQUESTS_PER_S);
      }
      const served = (await Promise.all(requests)).filter(
        isServed => isServed,
      ).length;
      record('served', {phase, served, of: requests.length});
      return served / requests.length;
    };

    const before = await servedShare('before');
    if (hasTrouble) {
      entry.signal('SIGKILL');
      await entry.ended;
      await sleep(DOWN_MS);
      entry = deployment.restart(entry);
    }
    await sleep(RECOVERY_MS);
    const after = await servedShare('after');
    if (before < 0.25)
      throw new Error('too few requests were served before the fault');
    return after < 0.25
      ? [
          `served ${after} of the requests later than recovery_s, ${before} before the fault`,
        ]
      : [];
  },
);
