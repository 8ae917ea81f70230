/**
 * Stand-in for a plain service. It records the effect of each call, and counts
 * repeated request ids and bodies.
 */
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

/** Schema of the settings and faults of the plain service stand-in. */
export const plainControl = z
  .strictObject({
    ...commonFaults,
    /** What happens after a call took effect: an answer, a reset connection, or no answer. */
    afterEffect: z.enum(['answer', 'reset', 'silent']),
    /** HTTP status of answers. */
    status: z.int().min(200).max(599),
  })
  .partial();

type Control = z.infer<typeof plainControl>;

/** The effect of one call. */
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
  // Effects survive a restart, because a real service stores committed bookings
  // outside its process.
  const effects: Effect[] = [];
  let incarnation = randomBytes(16).toString('hex');

  function handleCall(request: StandInRequest): Reply {
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
          repeatedRequests: countRepeats(
            effects.map(effect => effect.requestId),
          ),
          repeatedBodies: countRepeats(
            effects.map(({operation, body}) => `${operation} ${body}`),
          ),
        },
        effects,
      }),
      handle: handleCall,
    },
    options,
  );
}

/** Counts the values that repeat an earlier value. */
function countRepeats(values: readonly string[]): number {
  return values.length - new Set(values).size;
}
