/** Stand-in for a model engine: simulates adapter slots, orders with fencing numbers, and generations. */
import {randomBytes} from 'node:crypto';
import {z} from 'zod';
import {Batch, batchCounters, generationSchema} from './batch.js';
import {
  NOT_FOUND,
  commonFaults,
  json,
  parseBody,
  startStandIn,
  type Reply,
  type StandIn,
  type StandInOptions,
  type StandInRequest,
} from './server.js';

/** Schema of the settings and faults of the engine stand-in. */
export const engineControl = z
  .strictObject({
    ...commonFaults,
    /** Number of adapters that can be loaded at the same time. */
    slots: z.int().positive(),
    /** Number of generations that decode at the same time; others are queued. */
    batchSize: z.int().positive(),
    /** Duration of a step of an empty batch; a fuller batch takes longer. */
    tokenMs: z.number().positive(),
    /** Whether to refuse orders whose fencing number is lower than the highest one seen. */
    checkFence: z.boolean(),
    /** Whether every load fails. */
    failLoads: z.boolean(),
    /** Delay after which an event becomes visible to readers. */
    eventLagMs: z.number().nonnegative(),
    /** Drops every event whose sequence number is a multiple of this; 0 drops none. */
    eventGap: z.int().nonnegative(),
  })
  .partial();

/** Options of {@link startEngine}. */
export interface EngineOptions extends StandInOptions<
  z.infer<typeof engineControl>
> {
  /** Base URL of the weight store; without it, loads complete immediately. */
  readonly weights?: string;
}

const orderSchema = z.object({
  kind: z.enum(['load', 'evict']),
  adapter: z.string(),
  version: z.string(),
  fence: z.int(),
});

interface AdapterVersion {
  readonly adapter: string;
  readonly version: string;
}

/** A load or an eviction of an adapter. */
interface LoadEvent extends AdapterVersion {
  readonly seq: number;
  readonly kind: 'load' | 'evict';
  readonly atMs: number;
}

const keyOf = ({adapter, version}: AdapterVersion) => `${adapter}@${version}`;

/** Starts an engine stand-in. */
export function startEngine(options: EngineOptions = {}): Promise<StandIn> {
  const settings = {
    hang: false,
    slots: 8,
    batchSize: 16,
    tokenMs: 10,
    checkFence: true,
    failLoads: false,
    eventLagMs: 50,
    eventGap: 0,
  };
  const counters = {
    ...batchCounters(),
    loads: 0,
    failedLoads: 0,
    evictions: 0,
    evictedInUse: 0,
    fenced: 0,
    restarts: 0,
  };
  let engine = createEngine();

  /** Creates the state of a new engine incarnation with no adapters loaded. */
  function createEngine() {
    const incarnation = randomBytes(16).toString('hex');
    return {
      incarnation,
      fence: 0,
      resident: new Map<string, AdapterVersion>(),
      loading: new Map<string, Promise<boolean>>(),
      events: [] as LoadEvent[],
      batch: new Batch(incarnation, settings, counters),
    };
  }

  function handleOrder(request: StandInRequest): Reply | Promise<Reply> {
    const parsed = parseBody(orderSchema, request.body);
    if (!parsed.success) return json(400, {error: 'bad_order'});
    const {kind, fence, adapter, version} = parsed.data;
    if (settings.checkFence && fence < engine.fence) {
      counters.fenced += 1;
      return json(409, {error: 'fenced'});
    }
    engine.fence = Math.max(engine.fence, fence);
    return kind === 'load'
      ? load({adapter, version})
      : evict({adapter, version});
  }

  async function load(requested: AdapterVersion): Promise<Reply> {
    const engineAtStart = engine;
    const {resident, loading} = engineAtStart;
    const key = keyOf(requested);
    if (resident.has(key)) return json(200, {});
    if (!loading.has(key) && resident.size + loading.size >= settings.slots) {
      return json(409, {error: 'no_slot'});
    }
    const pendingFetch = loading.get(key) ?? fetchWeights(requested);
    loading.set(key, pendingFetch);
    const isFetched = await pendingFetch;
    loading.delete(key);
    // The engine restarted while the weights were being fetched.
    if (engine !== engineAtStart) return {kind: 'reset'};
    if (!isFetched) return json(502, {error: 'load_failed'});
    if (!resident.has(key)) {
      resident.set(key, requested);
      counters.loads += 1;
      recordEvent('load', requested);
    }
    return json(200, {});
  }

  async function fetchWeights(requested: AdapterVersion): Promise<boolean> {
    const path = [requested.adapter, requested.version].map(encodeURIComponent);
    const url = `${options.weights}/v1/weights/${path.join('/')}`;
    const isFetched =
      !settings.failLoads &&
      (options.weights === undefined || (await downloadWeights(url)));
    if (!isFetched) counters.failedLoads += 1;
    return isFetched;
  }

  function evict(evicted: AdapterVersion): Reply {
    const key = keyOf(evicted);
    if (!engine.resident.delete(key)) return json(200, {});
    counters.evictions += 1;
    recordEvent('evict', evicted);
    const affected = engine.batch
      .running()
      .filter(generation => keyOf(generation) === key);
    if (affected.length > 0) counters.evictedInUse += 1;
    affected.forEach(generation => engine.batch.discard(generation));
    return json(200, {});
  }

  function recordEvent(
    kind: 'load' | 'evict',
    adapterVersion: AdapterVersion,
  ): void {
    const seq = engine.events.length + 1;
    engine.events.push({seq, kind, atMs: Date.now(), ...adapterVersion});
  }

  function handleGenerations(request: StandInRequest): Reply {
    const id = request.path[2];
    if (id !== undefined && request.method === 'DELETE') {
      return engine.batch.cancel(id);
    }
    if (id !== undefined) {
      const offset = Number(request.query.get('offset') ?? 0);
      return engine.batch.read(id, offset);
    }
    const parsed = parseBody(generationSchema, request.body);
    if (!parsed.success) return json(400, {error: 'bad_generation'});
    return engine.resident.has(keyOf(parsed.data))
      ? engine.batch.start(parsed.data)
      : json(409, {error: 'not_loaded'});
  }

  function listEvents(request: StandInRequest): Reply {
    const after = Number(request.query.get('after') ?? 0);
    const visibleUntilMs = Date.now() - settings.eventLagMs;
    const {eventGap} = settings;
    const visibleEvents = engine.events
      .filter(({atMs, seq}) => seq > after && atMs <= visibleUntilMs)
      .filter(({seq}) => eventGap === 0 || seq % eventGap !== 0)
      .map(({seq, kind, adapter, version}) => ({seq, kind, adapter, version}));
    return json(200, {events: visibleEvents});
  }

  function engineState() {
    return {
      incarnation: engine.incarnation,
      fence: engine.fence,
      slots: settings.slots,
      batchSize: settings.batchSize,
      loaded: [...engine.resident.values()],
      active: engine.batch.running().length,
    };
  }

  return startStandIn(
    {
      control: engineControl,
      apply({restart, ...changes}) {
        Object.assign(settings, changes);
        if (restart !== true) return;
        counters.restarts += 1;
        engine.batch.close();
        engine = createEngine();
      },
      report: () => ({...settings, ...engineState(), counters}),
      handle(request) {
        switch (request.path.slice(0, 2).join('/')) {
          case 'v1/state':
            return json(200, engineState());
          case 'v1/orders':
            return handleOrder(request);
          case 'v1/generations':
            return handleGenerations(request);
          case 'v1/events':
            return listEvents(request);
          default:
            return NOT_FOUND;
        }
      },
    },
    options,
  );
}

/** Downloads and discards the weights at a URL; resolves to false when that fails. */
async function downloadWeights(url: string): Promise<boolean> {
  try {
    const answer = await fetch(url);
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    return false;
  }
}
