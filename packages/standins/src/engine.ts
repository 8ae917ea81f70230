/** Stand-in for a model engine: adapter slots, orders with fencing, and generations. */
import {randomBytes} from 'node:crypto';
import {z} from 'zod';
import {Batch, batchCounters, generationBody} from './batch.js';
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

/** Settings and faults of the engine stand-in. */
export const engineControl = z
  .strictObject({
    ...commonFaults,
    slots: z.int().positive(),
    batchSize: z.int().positive(),
    /** Duration of a batch step with one active generation. */
    tokenMs: z.number().positive(),
    /** Refuses orders with an old fencing number. */
    checkFence: z.boolean(),
    failLoads: z.boolean(),
    /** Delay after which an event can be read. */
    eventLagMs: z.number().nonnegative(),
    /** Drops each event whose number this divides; 0 drops none. */
    eventGap: z.int().nonnegative(),
  })
  .partial();

/** Options of {@link startEngine}. */
export interface EngineOptions extends StandInOptions<
  z.infer<typeof engineControl>
> {
  /** Base URL of the weight store; loads take no time without it. */
  readonly weights?: string;
}

const orderBody = z.object({
  kind: z.enum(['load', 'evict']),
  adapter: z.string(),
  version: z.string(),
  fence: z.int(),
});

interface AdapterVersion {
  readonly adapter: string;
  readonly version: string;
}

/** A change of the loaded adapters. */
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
  let engine = emptyEngine();

  /** State of one engine incarnation, with nothing loaded. */
  function emptyEngine() {
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

  function order(request: StandInRequest): Reply | Promise<Reply> {
    const parsed = parseBody(orderBody, request.body);
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

  async function load(wanted: AdapterVersion): Promise<Reply> {
    const current = engine;
    const {resident, loading} = current;
    const key = keyOf(wanted);
    if (resident.has(key)) return json(200, {});
    if (!loading.has(key) && resident.size + loading.size >= settings.slots) {
      return json(409, {error: 'no_slot'});
    }
    const fetching = loading.get(key) ?? fetchWeights(wanted);
    loading.set(key, fetching);
    const fetched = await fetching;
    loading.delete(key);
    if (engine !== current) return {kind: 'reset'};
    if (!fetched) return json(502, {error: 'load_failed'});
    if (!resident.has(key)) {
      resident.set(key, wanted);
      counters.loads += 1;
      recordEvent('load', wanted);
    }
    return json(200, {});
  }

  async function fetchWeights(wanted: AdapterVersion): Promise<boolean> {
    const path = [wanted.adapter, wanted.version].map(encodeURIComponent);
    const url = `${options.weights}/v1/weights/${path.join('/')}`;
    const fetched =
      !settings.failLoads &&
      (options.weights === undefined || (await isFetched(url)));
    if (!fetched) counters.failedLoads += 1;
    return fetched;
  }

  function evict(victim: AdapterVersion): Reply {
    const key = keyOf(victim);
    if (!engine.resident.delete(key)) return json(200, {});
    counters.evictions += 1;
    recordEvent('evict', victim);
    const users = engine.batch.running().filter(user => keyOf(user) === key);
    if (users.length > 0) counters.evictedInUse += 1;
    users.forEach(user => engine.batch.discard(user));
    return json(200, {});
  }

  function recordEvent(kind: 'load' | 'evict', changed: AdapterVersion): void {
    const seq = engine.events.length + 1;
    engine.events.push({seq, kind, atMs: Date.now(), ...changed});
  }

  function generations(request: StandInRequest): Reply {
    const id = request.path[2];
    if (id !== undefined && request.method === 'DELETE') {
      return engine.batch.cancel(id);
    }
    if (id !== undefined) {
      const offset = Number(request.query.get('offset') ?? 0);
      return engine.batch.read(id, offset);
    }
    const parsed = parseBody(generationBody, request.body);
    if (!parsed.success) return json(400, {error: 'bad_generation'});
    return engine.resident.has(keyOf(parsed.data))
      ? engine.batch.start(parsed.data)
      : json(409, {error: 'not_loaded'});
  }

  function events(request: StandInRequest): Reply {
    const after = Number(request.query.get('after') ?? 0);
    const until = Date.now() - settings.eventLagMs;
    const {eventGap} = settings;
    const visible = engine.events
      .filter(({atMs, seq}) => seq > after && atMs <= until)
      .filter(({seq}) => eventGap === 0 || seq % eventGap !== 0)
      .map(({seq, kind, adapter, version}) => ({seq, kind, adapter, version}));
    return json(200, {events: visible});
  }

  function state() {
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
        engine = emptyEngine();
      },
      report: () => ({...settings, ...state(), counters}),
      handle(request) {
        switch (request.path.slice(0, 2).join('/')) {
          case 'v1/state':
            return json(200, state());
          case 'v1/orders':
            return order(request);
          case 'v1/generations':
            return generations(request);
          case 'v1/events':
            return events(request);
          default:
            return NOT_FOUND;
        }
      },
    },
    options,
  );
}

/** Reads the weights at a URL to their end. */
async function isFetched(url: string): Promise<boolean> {
  try {
    const answer = await fetch(url);
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    return false;
  }
}
