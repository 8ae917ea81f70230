/** Stand-in for the configuration service: read, watch, and old copies. */
import {z} from 'zod';
import {
  NOT_FOUND,
  commonFaults,
  json,
  startStandIn,
  type Reply,
  type StandIn,
  type StandInOptions,
  type StandInRequest,
} from './server.js';

/** Largest value in bytes. */
const MAX_VALUE_BYTES = 1024 * 1024;

/** Settings and faults of the configuration service stand-in. */
export const configServiceControl = z
  .strictObject({
    ...commonFaults,
    /** Publishes values by name, as an operator does. Other values stay. */
    values: z.record(
      z.string(),
      z.string().refine(value => Buffer.byteLength(value) <= MAX_VALUE_BYTES),
    ),
    /**
     * Serves a fixed copy as it was this many publications ago; null serves
     * the newest values again.
     */
    oldCopy: z.int().nonnegative().nullable(),
  })
  .partial();

type Control = z.infer<typeof configServiceControl>;

interface Value {
  readonly name: string;
  readonly version: number;
  readonly content: string;
}

type Copy = ReadonlyMap<string, Value>;

/** Starts a configuration service stand-in. */
export function startConfigService(
  options: StandInOptions<Control> = {},
): Promise<StandIn> {
  const counters = {reads: 0, watches: 0, publications: 0, peakWatches: 0};
  const copies: Copy[] = [new Map()];
  let frozen: Copy | undefined;
  /** Called when the served copy changes. */
  const waiting = new Set<() => void>();

  const served = (): Copy => frozen ?? copies.at(-1) ?? new Map();

  function apply(control: Control): void {
    if (control.values !== undefined) publish(control.values);
    if (control.oldCopy !== undefined) {
      frozen =
        control.oldCopy === null
          ? undefined
          : copies[Math.max(0, copies.length - 1 - control.oldCopy)];
    }
    for (const wake of [...waiting]) wake();
  }

  function publish(contents: Readonly<Record<string, string>>): void {
    const next = new Map(copies.at(-1));
    for (const [name, content] of Object.entries(contents)) {
      const before = next.get(name);
      if (before?.content === content) continue;
      next.set(name, {name, version: (before?.version ?? 0) + 1, content});
    }
    copies.push(next);
    counters.publications += 1;
  }

  async function watch(name: string, request: StandInRequest): Promise<Reply> {
    const after = Number(request.query.get('after') ?? 0);
    const untilMs = Date.now() + Number(request.query.get('waitMs') ?? 0);
    for (;;) {
      const value = served().get(name);
      if (value === undefined) return NOT_FOUND;
      if (value.version !== after) return json(200, value);
      const waitMs = untilMs - Date.now();
      if (waitMs <= 0) return json(204, undefined);
      await changed(waitMs);
    }
  }

  function changed(limitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      waiting.add(wake);
      counters.peakWatches = Math.max(counters.peakWatches, waiting.size);
    });
  }

  return startStandIn(
    {
      control: configServiceControl,
      apply,
      report: () => ({
        oldCopy: frozen !== undefined,
        versions: Object.fromEntries(
          [...served().values()].map(({name, version}) => [name, version]),
        ),
        counters,
      }),
      handle(request) {
        const [, kind, name = ''] = request.path;
        if (kind === 'watch') {
          counters.watches += 1;
          return watch(name, request);
        }
        if (kind !== 'values') return NOT_FOUND;
        counters.reads += 1;
        const value = served().get(name);
        return value === undefined ? NOT_FOUND : json(200, value);
      },
    },
    options,
  );
}
