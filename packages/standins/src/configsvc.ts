/** Stand-in for the configuration service: serves reads and watches, and can serve outdated values. */
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

/** Largest size of a published value. */
const MAX_VALUE_BYTES = 1024 * 1024;

/** Schema of the settings and faults of the configuration service stand-in. */
export const configServiceControl = z
  .strictObject({
    ...commonFaults,
    /** Publishes these values, by name, as an operator would; other values are unchanged. */
    values: z.record(
      z.string(),
      z.string().refine(value => Buffer.byteLength(value) <= MAX_VALUE_BYTES),
    ),
    /**
     * Serves the values as they were this many publications ago, and ignores
     * later publications; null serves the newest values again.
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

/** All values by name after one publication. */
type Snapshot = ReadonlyMap<string, Value>;

/** Starts a configuration service stand-in. */
export function startConfigService(
  options: StandInOptions<Control> = {},
): Promise<StandIn> {
  const counters = {reads: 0, watches: 0, publications: 0, peakWatches: 0};
  const snapshots: Snapshot[] = [new Map()];
  let pinnedSnapshot: Snapshot | undefined;
  /** Callbacks of open watches, called after each control request. */
  const pendingWatches = new Set<() => void>();

  const servedSnapshot = (): Snapshot =>
    pinnedSnapshot ?? snapshots.at(-1) ?? new Map();

  function apply(control: Control): void {
    if (control.values !== undefined) publish(control.values);
    if (control.oldCopy !== undefined) {
      pinnedSnapshot =
        control.oldCopy === null
          ? undefined
          : snapshots[Math.max(0, snapshots.length - 1 - control.oldCopy)];
    }
    for (const notify of [...pendingWatches]) notify();
  }

  function publish(contents: Readonly<Record<string, string>>): void {
    const next = new Map(snapshots.at(-1));
    for (const [name, content] of Object.entries(contents)) {
      const previous = next.get(name);
      if (previous?.content === content) continue;
      next.set(name, {name, version: (previous?.version ?? 0) + 1, content});
    }
    snapshots.push(next);
    counters.publications += 1;
  }

  async function watch(name: string, request: StandInRequest): Promise<Reply> {
    const after = Number(request.query.get('after') ?? 0);
    const endMs = Date.now() + Number(request.query.get('waitMs') ?? 0);
    for (;;) {
      const value = servedSnapshot().get(name);
      if (value === undefined) return NOT_FOUND;
      if (value.version !== after) return json(200, value);
      const waitMs = endMs - Date.now();
      if (waitMs <= 0) return json(204, undefined);
      await waitForChange(waitMs);
    }
  }

  function waitForChange(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const notify = () => {
        clearTimeout(timer);
        pendingWatches.delete(notify);
        resolve();
      };
      const timer = setTimeout(notify, timeoutMs);
      pendingWatches.add(notify);
      counters.peakWatches = Math.max(
        counters.peakWatches,
        pendingWatches.size,
      );
    });
  }

  return startStandIn(
    {
      control: configServiceControl,
      apply,
      report: () => ({
        oldCopy: pinnedSnapshot !== undefined,
        versions: Object.fromEntries(
          [...servedSnapshot().values()].map(({name, version}) => [
            name,
            version,
          ]),
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
        const value = servedSnapshot().get(name);
        return value === undefined ? NOT_FOUND : json(200, value);
      },
    },
    options,
  );
}
