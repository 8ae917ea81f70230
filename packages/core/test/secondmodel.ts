/** A model of one entry and the targets of a service, for tests of second attempts. */
import {
  NO_SECOND_ATTEMPTS,
  SECOND_OUTCOME,
  lateAfterMs,
  secondWithheld,
  withSecondOutcome,
  withSecondRefusal,
  withSecondRequest,
  withSecondStart,
  withSecondTime,
  type SecondAttempts,
  type SecondWithheld,
} from '../src/index.js';
import {randomOf} from './random.js';

/** Options of {@link playSeconds}. Times are in milliseconds. */
export interface SecondPlay {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerS: number;
  readonly targets: number;
  readonly slots: number;
  /** Operators' share; 0 for no second attempts. */
  readonly share: number;
  /** Time of a run. */
  readonly runMs: (run: {
    readonly target: number;
    readonly atMs: number;
    readonly random: () => number;
    /** Runs in progress at the target. */
    readonly running: number;
    /** Whether the request is a large one, at whichever target it runs. */
    readonly largeRequest: boolean;
  }) => number;
  /** Share of large requests; default: 0. */
  readonly largeShare?: number;
  /** Requests that wait at a target before it refuses one; default: none. */
  readonly queue?: number;
}

/** What a play showed. */
export interface SecondFigures {
  readonly requests: number;
  readonly refused: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Second attempts. */
  readonly seconds: number;
  readonly won: number;
  /** Second attempts in each second of the play. */
  readonly secondsAt: readonly number[];
  readonly withheld: ReadonlyMap<SecondWithheld, number>;
  /** Work of all targets, in milliseconds. */
  readonly workMs: number;
}

interface Run {
  readonly target: number;
  readonly sentAtMs: number;
  readonly request: PlayedRequest;
  readonly isSecond: boolean;
  startedAtMs: number | undefined;
  isOver: boolean;
}

interface PlayedRequest {
  readonly atMs: number;
  readonly runs: Run[];
  readonly isLarge: boolean;
  isAnswered: boolean;
}

const TIMEOUT_MS = 10_000;

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/** Plays a load with second attempts. */
export function playSeconds(play: SecondPlay): SecondFigures {
  const {share, targets, slots, queue = 0} = play;
  const random = randomOf(play.seed);
  const events: Array<{readonly atMs: number; readonly run: () => void}> = [];
  let nowMs = 0;
  const at = (atMs: number, run: () => void) => {
    let low = 0;
    let high = events.length;
    // Latest first.
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((events[middle]?.atMs ?? 0) > atMs) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, {atMs, run});
  };
  let state: SecondAttempts = NO_SECOND_ATTEMPTS;
  const running = new Array<number>(targets).fill(0);
  const waiting: Run[][] = Array.from({length: targets}, () => []);
  const times: number[] = [];
  const secondsAt = new Array<number>(play.durationMs / 1_000).fill(0);
  const withheld = new Map<SecondWithheld, number>();
  let requests = 0;
  let refused = 0;
  let seconds = 0;
  let won = 0;
  let workMs = 0;
  const load = (target: number) =>
    (running[target] ?? 0) + (waiting[target]?.length ?? 0);
  const totalLoad = () => running.reduce((sum, _, n) => sum + load(n), 0);

  const choose = (excluded: number) => {
    const open = running
      .map((_, target) => ({target, load: load(target) + random() * 0.5}))
      .filter(({target}) => target !== excluded)
      .sort((a, b) => a.load - b.load);
    return open[0]?.target ?? 0;
  };
  const begin = (run: Run) => {
    run.startedAtMs = nowMs;
    running[run.target] = (running[run.target] ?? 0) + 1;
    const ms = play.runMs({
      target: run.target,
      atMs: nowMs,
      random,
      running: running[run.target] ?? 0,
      largeRequest: run.request.isLarge,
    });
    at(nowMs + ms, () => answer(run));
  };
  const leave = (run: Run) => {
    run.isOver = true;
    const queued = waiting[run.target] ?? [];
    if (run.startedAtMs === undefined) {
      queued.splice(queued.indexOf(run), 1);
      return;
    }
    workMs += nowMs - run.startedAtMs;
    running[run.target] = (running[run.target] ?? 0) - 1;
    const next = queued.shift();
    if (next !== undefined) begin(next);
  };
  const answer = (run: Run) => {
    if (run.isOver) return;
    leave(run);
    const {request} = run;
    request.isAnswered = true;
    times.push(nowMs - request.atMs);
    const id = String(run.target);
    state = withSecondTime(state, id, nowMs - run.sentAtMs, nowMs);
    for (const loser of request.runs.filter(other => !other.isOver)) {
      leave(loser);
      const lostMs = nowMs - loser.sentAtMs;
      state = withSecondTime(state, String(loser.target), lostMs, nowMs);
    }
    if (request.runs.length < 2) return;
    if (run.isSecond) won += 1;
    const outcome = run.isSecond ? SECOND_OUTCOME.won : SECOND_OUTCOME.lost;
    state = withSecondOutcome(state, outcome, nowMs);
  };
  /** Returns whether the target takes the request. */
  const send = (request: PlayedRequest, target: number, isSecond: boolean) => {
    if (load(target) >= slots + queue) {
      state = withSecondRefusal(state, nowMs);
      return false;
    }
    const run: Run = {
      target,
      sentAtMs: nowMs,
      request,
      isSecond,
      startedAtMs: undefined,
      isOver: false,
    };
    request.runs.push(run);
    if ((running[target] ?? 0) < slots) begin(run);
    else waiting[target]?.push(run);
    return true;
  };
  const checkLate = (request: PlayedRequest, lateMs: number) => {
    if (request.isAnswered || request.runs.length > 1) return;
    const first = request.runs[0]?.target ?? 0;
    const second = choose(first);
    const reason = secondWithheld(
      state,
      {
        remainingMs: request.atMs + TIMEOUT_MS - nowMs,
        inProgress: totalLoad(),
        slots: slots * targets,
        retries: {used: 0, limit: Infinity},
        share,
        hasTarget: load(second) < slots,
      },
      nowMs,
    );
    if (reason !== undefined) {
      withheld.set(reason, (withheld.get(reason) ?? 0) + 1);
      at(nowMs + lateMs, () => checkLate(request, lateMs));
      return;
    }
    seconds += 1;
    const second0 = Math.floor(nowMs / 1_000);
    secondsAt[second0] = (secondsAt[second0] ?? 0) + 1;
    state = withSecondStart(state, nowMs);
    if (!send(request, second, true)) {
      state = withSecondOutcome(state, SECOND_OUTCOME.failed, nowMs);
    }
  };
  const arrive = () => {
    const isLarge = random() < (play.largeShare ?? 0);
    const request = {atMs: nowMs, runs: [], isAnswered: false, isLarge};
    requests += 1;
    state = withSecondRequest(state, nowMs);
    const target = choose(-1);
    if (!send(request, target, false)) refused += 1;
    else if (share > 0) {
      const lateMs = lateAfterMs(state, String(target), nowMs);
      if (lateMs !== undefined) {
        at(nowMs + lateMs, () => checkLate(request, lateMs));
      }
    }
    const gapMs = (-Math.log(1 - random()) * 1_000) / play.requestsPerS;
    if (nowMs + gapMs < play.durationMs) at(nowMs + gapMs, arrive);
  };
  at(0, arrive);
  for (let event = events.pop(); event; event = events.pop()) {
    nowMs = event.atMs;
    event.run();
  }
  const sorted = times.sort((a, b) => a - b);
  return {
    requests,
    refused,
    p50Ms: quantile(sorted, 0.5),
    p99Ms: quantile(sorted, 0.99),
    seconds,
    won,
    secondsAt,
    withheld,
    workMs,
  };
}
