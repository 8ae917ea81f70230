/** The operator's configuration of a small deployment, with the figures of the site `emsn-novias`. */
export function configuration({version = 1, routes = []} = {}) {
  return {
    version,
    routes: [
      {
        name: 'chat',
        host: 'novias.example',
        prefix: '/chat/',
        kind: 'streaming',
        service: 'asistente',
        timeout_ms: 5000,
        target_latency_ms: 600,
        gap_aim_ms: 400,
        priority: 0,
        max_attempts: 2,
        resumable: true,
        sticky: true,
      },
      {
        name: 'confirma',
        host: 'novias.example',
        prefix: '/confirma/',
        kind: 'unsafe',
        service: 'reservas',
        timeout_ms: 4000,
        target_latency_ms: 386,
        priority: 2,
        max_attempts: 2,
      },
      {
        name: 'agenda',
        host: 'novias.example',
        prefix: '/agenda/',
        kind: 'safe',
        service: 'reservas',
        timeout_ms: 4000,
        target_latency_ms: 386,
        priority: 2,
        max_attempts: 2,
      },
      ...routes,
    ],
    services: [
      {
        name: 'asistente',
        health_path: '/health',
        max_conns: 740,
        engine: {
          slots: 64,
          weights_mb: 67000,
          adapter_slots: 16,
          models: [
            {
              name: 'm0',
              weights_mb: 65100,
              load_s: 1.9,
              adapters: 3000,
              adapter_mb: 12,
            },
          ],
        },
      },
      {name: 'reservas', health_path: '/health', max_conns: 220},
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}
