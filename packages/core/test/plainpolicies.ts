/** Entries of the model of plain servers, by what they decide with. */
import {
  OPEN_ROOM,
  UNKNOWN_HEALTH,
  UNKNOWN_PACE,
  afterFull,
  afterPacedAnswer,
  afterPlainAnswer,
  afterSuccess,
  bestPaceMs,
  expectedPaceMs,
  rankPlain,
  sendProbability,
  spreadRetryAfter,
  typicalPaceMs,
  withArrival,
  type Arrivals,
  type PlacementCandidate,
  type RankedRequest,
  type ServiceRoom,
  type TargetHealth,
  type TargetPace,
} from '../src/index.js';
import type {ModelEntry, ModelRequest} from './plainmodel.js';

/** Time for which an entry avoids a full target, in milliseconds, as in the entry process. */
const FULL_AVOID_MS = 150;

/** What an entry of the model is created with. */
export interface EntryOptions {
  readonly servers: number;
  readonly slots: number;
  readonly objectiveMs: number;
  readonly random: () => number;
}

/** Creates an entry of the model. */
export type EntryFactory = (options: EntryOptions) => ModelEntry;

interface ServerView {
  health: TargetHealth;
  pace: TargetPace;
  inProgress: number;
}

/** How an entry uses what it learns. */
interface Policy {
  /** Whether servers are ranked by the pace of their last answers. */
  readonly isPaced: boolean;
  /** Whether a part of the requests is refused while the servers are crowded. */
  readonly isShared: boolean;
}

function ranked({account, isRepeat}: ModelRequest): RankedRequest {
  return {rank: isRepeat ? 1 : 0, account: `account-${account}`};
}

function createEntry(
  {servers, slots, objectiveMs, random}: EntryOptions,
  {isPaced, isShared}: Policy,
): ModelEntry {
  const views = Array.from({length: servers}, (): ServerView => ({
    health: UNKNOWN_HEALTH,
    pace: UNKNOWN_PACE,
    inProgress: 0,
  }));
  let room: ServiceRoom = OPEN_ROOM;
  let arrivals: Arrivals = [];
  const paces = () => views.map(({pace}) => pace);
  const paceOf = ({pace}: ServerView, nowMs: number) => {
    const typicalMs = typicalPaceMs(paces(), nowMs);
    return expectedPaceMs(pace, typicalMs, nowMs);
  };
  const candidate = (
    view: ServerView,
    id: number,
    nowMs: number,
  ): PlacementCandidate => ({
    id: String(id),
    rankName: String(id),
    isLocal: true,
    isPossiblyGone: false,
    health: view.health,
    inProgress: view.inProgress,
    waiting: 0,
    slots,
    loads: 0,
    modelReadyMs: 0,
    limitWaitMs: 0,
    paceMs: isPaced ? paceOf(view, nowMs) : 0,
  });
  return {
    decide: (request, nowMs) => {
      arrivals = withArrival(arrivals, ranked(request));
      const bestMs = bestPaceMs(paces(), nowMs);
      if (
        isShared &&
        random() >= sendProbability(room, arrivals, ranked(request))
      ) {
        return {retryAfterMs: spreadRetryAfter(bestMs, random())};
      }
      const candidates = views.map((view, id) => candidate(view, id, nowMs));
      const server = Number(rankPlain(candidates, nowMs, random)[0]?.id);
      const view = views[server];
      if (view !== undefined) view.inProgress += 1;
      return {server};
    },
    ended: ({server, latencyMs, isRefused}, nowMs) => {
      const view = views[server];
      if (view === undefined) return;
      view.inProgress -= 1;
      if (isRefused) view.health = afterFull(view.health, nowMs, FULL_AVOID_MS);
      else {
        view.health = afterSuccess(view.health, latencyMs, nowMs);
        view.pace = afterPacedAnswer(view.pace, latencyMs, nowMs);
      }
      const bestMs = bestPaceMs(paces(), nowMs);
      room = afterPlainAnswer(
        room,
        {latencyMs: isRefused ? undefined : latencyMs, bestMs, objectiveMs},
        nowMs,
      );
    },
  };
}

/** Entries that send each request at once and rank servers by their health. */
export const sendsAll: EntryFactory = options =>
  createEntry(options, {isPaced: false, isShared: false});

/** Entries that send each request at once and rank servers by their last answers. */
export const sendsAllByPace: EntryFactory = options =>
  createEntry(options, {isPaced: true, isShared: false});

/** Entries that send what the servers answer in time. */
export const sendsShare: EntryFactory = options =>
  createEntry(options, {isPaced: true, isShared: true});
