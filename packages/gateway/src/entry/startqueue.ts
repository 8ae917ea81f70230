/** Starts the requests that an entry has read, a bounded number in each turn of the event loop. */
import {
  INITIAL_STARTS,
  isLateTurn,
  mayDeferStarts,
  nextStarts,
  planStarts,
  type Clock,
} from '@balsamnotch/core';

/** A request that has been read. Exactly one of `start` and `refuse` is called while its caller is present. */
export interface ReadRequest {
  /** Returns whether the caller's connection is open. */
  readonly isCallerPresent: () => boolean;
  /** Returns whether the caller has ended its half of the connection. */
  readonly hasCallerEnded: () => boolean;
  /**
   * Starts the request, which has waited for `queuedMs` milliseconds. All that had arrived from its
   * caller `confirmedMs` milliseconds ago has been read.
   */
  readonly start: (queuedMs: number, confirmedMs: number) => void;
  /** Answers that the request has not run. */
  readonly refuse: () => void;
}

/** Requests that wait for their start. */
export interface StartQueue {
  readonly add: (request: ReadRequest) => void;
  /** Records that the server has accepted a connection. */
  readonly recordConnection: () => void;
  /**
   * Gauges: requests that wait, how many a turn may start, and in how many turns in a row a connection
   * was accepted, at most since the call before. A long row means that connections wait for it.
   */
  readonly status: () => Readonly<Record<string, number>>;
}

interface QueuedRequest extends ReadRequest {
  readonly readAtMs: number;
}

/** Creates an empty queue. */
export function createStartQueue(clock: Clock): StartQueue {
  let waiting: readonly QueuedRequest[] = [];
  /** Requests that have been read in the turn in progress. */
  let added: QueuedRequest[] = [];
  let limit = INITIAL_STARTS;
  /** Monotonic time at which the turn in progress began, in milliseconds; undefined after an idle one. */
  let turnBeganAtMs: number | undefined;
  /** Whether the turn in progress has accepted a connection. */
  let hasAccepted = false;
  /** Whether the turn in progress could start requests. */
  let mayHaveStarted = false;
  /** Monotonic time at which the last turn ended that could, in milliseconds. */
  let lastStartsAtMs = -Infinity;
  /** Length of that turn, in milliseconds. */
  let lastStartsTurnMs = 0;
  /** Number of turns in a row that have accepted a connection. */
  let acceptsInRow = 0;
  let maxAcceptsInRow = 0;
  let isScheduled = false;
  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(runTurn);
  };
  /** Adapts the limit to the turn that has ended, and returns its length in milliseconds; 0 after an idle one. */
  const endTurn = (nowMs: number): number => {
    if (turnBeganAtMs === undefined) return 0;
    const turnMs = nowMs - turnBeganAtMs;
    if (mayHaveStarted) {
      limit = nextStarts(limit, {turnMs, left: waiting.length});
      lastStartsAtMs = nowMs;
      lastStartsTurnMs = turnMs;
    }
    return turnMs;
  };
  const startRequests = (
    requests: readonly QueuedRequest[],
    nowMs: number,
    confirmedMs: number,
  ) => {
    const present = requests
      .filter(request => request.isCallerPresent())
      .map(request => ({...request, hasEnded: request.hasCallerEnded()}));
    const plan = planStarts(present, limit, nowMs);
    waiting = plan.waiting;
    for (const {refuse} of plan.refused) refuse();
    for (const {start, readAtMs, hasEnded} of plan.started) {
      start(nowMs - readAtMs, hasEnded ? Infinity : confirmedMs);
    }
  };
  const runTurn = () => {
    isScheduled = false;
    const nowMs = clock.monotonicMs();
    const turnMs = endTurn(nowMs);
    const read = added;
    added = [];
    const isIdle = waiting.length + read.length === 0;
    turnBeganAtMs = isIdle ? undefined : nowMs;
    // The next turn does not wait for input, so that its length is that of the work.
    if (!isIdle || hasAccepted) schedule();
    acceptsInRow = hasAccepted ? acceptsInRow + 1 : 0;
    maxAcceptsInRow = Math.max(maxAcceptsInRow, acceptsInRow);
    const isDeferred = mayDeferStarts(hasAccepted, {
      sinceMs: nowMs - lastStartsAtMs,
      turnMs: lastStartsTurnMs,
    });
    hasAccepted = false;
    mayHaveStarted = !isDeferred;
    if (isDeferred) {
      waiting = [...waiting, ...read];
      return;
    }
    if (isLateTurn(turnMs)) {
      startRequests(waiting, nowMs, turnMs);
      waiting = [...waiting, ...read];
    } else startRequests([...waiting, ...read], nowMs, Infinity);
  };
  return {
    recordConnection: () => {
      hasAccepted = true;
      schedule();
    },
    add: request => {
      added.push({...request, readAtMs: clock.monotonicMs()});
      schedule();
    },
    status: () => {
      const acceptsInRowMax = maxAcceptsInRow;
      maxAcceptsInRow = acceptsInRow;
      return {
        starts_waiting: waiting.length + added.length,
        starts_per_turn: limit,
        accepts_in_row_max: acceptsInRowMax,
      };
    },
  };
}
