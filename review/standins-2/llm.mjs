/** The language service of a small deployment: its configuration and a client of its streams. */
import http from 'node:http';

/** Service `asistente-ia` as `fleetbench wire` shows it for the site. */
export const LLM_SERVICE = {
  name: 'asistente-ia',
  health_path: '/health',
  max_conns: 740,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 64,
    kv_capacity: 249466,
    kv_bytes: 163840,
    link_mbps: 1100000,
    moves: true,
    backups: true,
    stride: 5,
    cap: 12,
    host_mb: 150000,
    disk_mb: 430000,
    pin_ms: 4000,
    hold_ms: 2000,
    handle_s: 5,
    models: [
      {
        name: 'm0',
        weights_mb: 65100,
        load_s: 1.9,
        adapters: 3000,
        adapter_mb: 12,
        warm_s: 0.38,
        disk_s: 0.76,
      },
    ],
    weights_mb: 66600,
    adapter_slots: 16,
    loads_per_s: 3.1,
  },
};

/** Sends one stream; resolves to its status, its events and whether it ended as complete. */
export function sendStream(
  address,
  {id, path, prefix, headers = {}, deadlineMs = 5_000},
) {
  return new Promise(resolve => {
    let text = '';
    const request = http.request(
      `http://${address}${path}`,
      {
        method: 'POST',
        agent: false,
        headers: {
          host: 'ficu95.example',
          'balsamnotch-request-id': id,
          'balsamnotch-model': 'm0',
          'balsamnotch-token-count': '646,70',
          'balsamnotch-prompt-prefix': prefix,
          'balsamnotch-deadline-ms': String(deadlineMs),
          'content-length': '2',
          ...headers,
        },
      },
      response => {
        response.on('data', chunk => {
          text += chunk.toString();
        });
        const finish = () =>
          resolve({
            status: response.statusCode,
            retryAfter: response.headers['retry-after'],
            events: text.split('\n\n').filter(event => event !== ''),
            isComplete: response.complete,
          });
        response.on('end', finish);
        response.on('error', finish);
      },
    );
    request.on('error', () =>
      resolve({status: 0, events: [], isComplete: false}),
    );
    request.end('{}');
  });
}
