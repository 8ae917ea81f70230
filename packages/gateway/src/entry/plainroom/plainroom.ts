/** Decides which requests for plain services an entry sends, and follows the answers of their targets. */
import {
  ATTEMPT_END,
  OPEN_ROOM,
  UNKNOWN_PACE,
  afterPacedAnswer,
  afterPlainAnswer,
  bestPaceMs,
  expectedPaceMs,
  sendProbability,
  typicalPaceMs,
  withArrival,
  type Arrivals,
  type PlacementCandidate,
  type RankedRequest,
  type ServiceRoom,
  type TargetPace,
} from '@balsamnotch/core';
import type {GatewayContext} from '../../node/context.js';
import type {AttemptResult} from '../attempt.js';
import {HTTP_STATUS} from '../status.js';
import type {Targets, TargetState} from '../targets.js';

/** Reasons for which a request for a plain service is refused without being sent. */
export const ROOM_REFUSAL = {
  /** More requests come than the targets answer in time, and others go first. */
  noRoom: 'no_room',
  /** The fastest target is expected to answer after the deadline. */
  deadline: 'deadline_unreachable',
} as const;

/** A request that is not sent. */
export interface RoomRefusal {
  readonly reason: (typeof ROOM_REFUSAL)[keyof typeof ROOM_REFUSAL];
  /** Time in which the fastest target is expected to answer, in milliseconds. */
  readonly expectedMs: number;
}

/** A request for a plain service that has not been sent. */
export interface PlainRequest extends RankedRequest {
  readonly service: string;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Pace of a target in one of its incarnations. */
interface IncarnationPace {
  readonly incarnationMs: number;
  readonly pace: TargetPace;
}

/** What an entry knows of one plain service. */
interface ServiceState {
  room: ServiceRoom;
  arrivals: Arrivals;
  /** Whether the log says that requests are refused. */
  isReported: boolean;
}

/** Options of {@link PlainRoom}. */
export interface PlainRoomOptions {
  readonly context: Pick<
    GatewayContext,
    'clock' | 'random' | 'log' | 'metrics'
  >;
  readonly targets: Pick<Targets, 'candidates' | 'get'>;
}

/** Share of the requests below which the log says that requests are refused. */
const REPORTED_SHARE = 0.9;

/** The room for requests at the targets of plain services, as far as this entry knows. */
export class PlainRoom {
  /** By name of the service. */
  private readonly services = new Map<string, ServiceState>();
  private readonly paces = new WeakMap<TargetState, IncarnationPace>();

  constructor(private readonly options: PlainRoomOptions) {}

  private get nowMs(): number {
    return this.options.context.clock.monotonicMs();
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const state = {room: OPEN_ROOM, arrivals: [], isReported: false};
    this.services.set(service, state);
    return state;
  }

  private paceOf(target: TargetState): TargetPace {
    const known = this.paces.get(target);
    const {incarnationMs} = target.listing.target;
    return known?.incarnationMs === incarnationMs ? known.pace : UNKNOWN_PACE;
  }

  private pacesOfCandidates(
    candidates: readonly PlacementCandidate[],
  ): readonly TargetPace[] {
    return candidates.map(({id}) => {
      const target = this.options.targets.get(id);
      return target === undefined ? UNKNOWN_PACE : this.paceOf(target);
    });
  }

  /** Paces of the listed targets of a service that take requests. */
  private pacesOf(name: string): readonly TargetPace[] {
    const {targets} = this.options;
    const candidates = targets.candidates({name}, undefined, new Set());
    return this.pacesOfCandidates(candidates);
  }

  /** Adds to each candidate how fast it is expected to answer. */
  withPaces(
    candidates: readonly PlacementCandidate[],
  ): readonly PlacementCandidate[] {
    const {nowMs} = this;
    const paces = this.pacesOfCandidates(candidates);
    const typicalMs = typicalPaceMs(paces, nowMs);
    return candidates.map((candidate, n) => ({
      ...candidate,
      paceMs: expectedPaceMs(paces[n] ?? UNKNOWN_PACE, typicalMs, nowMs),
    }));
  }

  /** Counts a request that arrives, and returns why it is not sent; undefined if it is. */
  refusalOf(request: PlainRequest): RoomRefusal | undefined {
    const {service, remainingMs} = request;
    const {context} = this.options;
    const state = this.stateOf(service);
    state.arrivals = withArrival(state.arrivals, request);
    // Most requests: nothing is short, and what the targets do need not be looked up.
    if (state.room.sentShare >= 1) return undefined;
    const probability = sendProbability(state.room, state.arrivals, request);
    const expectedMs = bestPaceMs(this.pacesOf(service), this.nowMs);
    const isDrawn = probability >= 1 || context.random() < probability;
    if (isDrawn && expectedMs < remainingMs) return undefined;
    context.metrics.count('plain_refused', service);
    return {
      reason: isDrawn ? ROOM_REFUSAL.deadline : ROOM_REFUSAL.noRoom,
      expectedMs,
    };
  }

  /** Follows the end of an attempt at a plain target. `objectiveMs` is that of the request. */
  recordEnd(
    target: TargetState,
    {end, answer, connectMs, firstByteMs, isReplaced}: AttemptResult,
    objectiveMs: number,
  ): void {
    if (isReplaced) return;
    const isFull =
      end === ATTEMPT_END.notRun && answer?.status === HTTP_STATUS.unavailable;
    if (end !== ATTEMPT_END.answered && !isFull) return;
    const {service, incarnationMs} = target.listing.target;
    const {nowMs} = this;
    // The time to connect tells of this entry and the network, not of the target's queue.
    const latencyMs = isFull ? undefined : firstByteMs - connectMs;
    if (latencyMs !== undefined) {
      const pace = afterPacedAnswer(this.paceOf(target), latencyMs, nowMs);
      this.paces.set(target, {incarnationMs, pace});
    }
    const bestMs = bestPaceMs(this.pacesOf(service), nowMs);
    const state = this.stateOf(service);
    const answered = {latencyMs, bestMs, objectiveMs};
    state.room = afterPlainAnswer(state.room, answered, nowMs);
    this.report(service, state, bestMs);
  }

  /** Logs when the entry begins to refuse requests for a service and when it has ended. */
  private report(service: string, state: ServiceState, bestMs: number): void {
    const {sentShare} = state.room;
    const isShort = state.isReported
      ? sentShare < 1
      : sentShare < REPORTED_SHARE;
    if (isShort === state.isReported) return;
    state.isReported = isShort;
    const {log} = this.options.context;
    const fields = {service, expected_ms: Math.round(bestMs)};
    if (isShort) log.warn('plain_room_short', fields);
    else log.info('plain_room_restored', fields);
  }

  /** Returns the share of requests that is sent and the expected time to an answer, by the name of a gauge. */
  status(): Readonly<Record<string, number>> {
    const gauges: Record<string, number> = {};
    for (const [service, {room}] of this.services) {
      gauges[`plain_sent_share_${service}`] = room.sentShare;
      gauges[`plain_expected_ms_${service}`] = bestPaceMs(
        this.pacesOf(service),
        this.nowMs,
      );
    }
    return gauges;
  }
}
