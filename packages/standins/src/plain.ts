/** Stand-in for a plain service. It counts each effect by request id and by body. */
import {randomBytes} from 'node:crypto';
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

/** Settings and faults of the plain service stand-in. */
export const plainControl = z
  .strictObject({
    ...commonFaults,
    /** What follows an effect: an answer, a reset connection, or silence. */
    afterEffect: z.enum(['answer', 'reset', 'silent']),
    /** Status of answers. */
    status: z.int().min(200).max(599),
  })
  .partial();

type Control = z.infer<typeof plainControl>;

/** One effect of a call. */
export interface Effect {
  readonly requestId: string;
  readonly operation: string;
  readonly body: string;
}

/** Starts a plain service stand-in. */
export function startPlain(
  options: StandInOptions<Control> = {},
): Promise<StandIn> {
  const settings = {
    afterEffect: 'answer' as 'answer' | 'reset' | 'silent',
    status: 200,
  };
  // Effects outlive a restart: a committed booking is kept by the service, not by its process.
  const effects: Effect[] = [];
  let incarnation = randomBytes(16).toString('hex');

  function call(request: StandInRequest): Reply {
    const operation = request.path[1];
    if (request.method !== 'POST' || operation === undefined) return NOT_FOUND;
    const requestId = String(request.headers['x-request-id'] ?? '');
    const body = request.body.toString();
    effects.push({requestId, operation, body});
    if (settings.afterEffect !== 'answer') return {kind: settings.afterEffect};
    const sequence = effects.length;
    return json(settings.status, {
      operation,
      requestId,
      incarnation,
      sequence,
      body,
    });
  }

  return startStandIn(
    {
      control: plainControl,
      apply({restart, ...changes}) {
        Object.assign(settings, changes);
        if (restart === true) {
          incarnation = randomBytes(16).toString('hex');
        }
      },
      report: () => ({
        ...settings,
        incarnation,
        counters: {
          effects: effects.length,
          repeatedRequests: repeats(effects.map(effect => effect.requestId)),
          repeatedBodies: repeats(
            effects.map(({operation, body}) => `${operation} ${body}`),
          ),
        },
        effects,
      }),
      handle: call,
    },
    options,
  );
}

/** Number of values that occur again after their first occurrence. */
function repeats(values: readonly string[]): number {
  return values.length - new Set(values).size;
}
