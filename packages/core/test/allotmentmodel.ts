/** Plays client accounts at entries and target nodes that lose and delay messages. */
import {
  AccountTotals,
  EntryAllotments,
  TOTAL_NODES,
  statementIntervalMs,
  type Allotment,
} from '@balsamnotch/core';

/** Step of a play, in milliseconds. */
const STEP_MS = 10;

/** What an account asks for at one entry and time. */
export interface AskedLoad {
  readonly name: string;
  readonly allotment: Allotment;
  /** Amount per second. */
  readonly perSecond: number;
}

/** A play. Times are in milliseconds from its start. */
export interface AllotmentPlay {
  readonly entries: number;
  readonly nodes: number;
  readonly durationMs: number;
  /** Number of entries that the entries assume. */
  readonly assumedEntries?: number;
  readonly lossShare?: number;
  readonly maxDelayMs?: number;
  /** Amount of one request, from a random number; default: 1. */
  readonly amountOf?: (random: number) => number;
  readonly loads: (entry: number, atMs: number) => readonly AskedLoad[];
  /** Entries whose process is replaced at this time. */
  readonly restartsEntry?: (entry: number, atMs: number) => boolean;
  readonly restartsNode?: (node: number, atMs: number) => boolean;
  readonly isCut?: (entry: number, node: number, atMs: number) => boolean;
  readonly random: () => number;
}

/** Amounts of one account in one step, over all entries. */
export interface PlayedStep {
  readonly asked: number;
  readonly admitted: number;
}

/** Result of a play. */
export interface PlayedAllotments {
  /** Steps by account. */
  readonly steps: ReadonlyMap<string, readonly PlayedStep[]>;
  /** Statements that entries sent. */
  readonly statements: number;
  /** Most accounts in one statement. */
  readonly largestStatement: number;
}

/** Returns the steps from `fromMs` up to `toMs`, added up. */
export function sumOf(
  steps: readonly PlayedStep[],
  fromMs: number,
  toMs: number,
): PlayedStep {
  let [asked, admitted] = [0, 0];
  for (const step of steps.slice(fromMs / STEP_MS, toMs / STEP_MS)) {
    asked += step.asked;
    admitted += step.admitted;
  }
  return {asked, admitted};
}

/** Returns the most that was admitted in any window of this length. */
export function mostAdmitted(
  steps: readonly PlayedStep[],
  windowMs: number,
): number {
  const length = windowMs / STEP_MS;
  let [sum, most] = [0, 0];
  for (const [n, step] of steps.entries()) {
    sum += step.admitted - (steps[n - length]?.admitted ?? 0);
    most = Math.max(most, sum);
  }
  return most;
}

interface Message {
  readonly atMs: number;
  readonly handle: () => void;
}

/** Plays the loads; entries prefer the target nodes with the lowest numbers that they reach. */
export function playAllotments({
  entries: entryCount,
  nodes: nodeCount,
  durationMs,
  assumedEntries = entryCount,
  lossShare = 0,
  maxDelayMs = 20,
  amountOf = () => 1,
  loads,
  restartsEntry = () => false,
  restartsNode = () => false,
  isCut = () => false,
  random,
}: AllotmentPlay): PlayedAllotments {
  const intervalMs = statementIntervalMs(assumedEntries);
  const entries = Array.from({length: entryCount}, () => new EntryAllotments());
  const nodes = Array.from({length: nodeCount}, () => new AccountTotals());
  const sessions = entries.map((_, n) => n);
  let nextSession = entryCount;
  let messages: Message[] = [];
  const steps = new Map<string, PlayedStep[]>();
  let [statements, largestStatement, nowMs] = [0, 0, 0];
  const send = (entry: number, node: number, handle: () => void) => {
    if (random() < lossShare || isCut(entry, node, nowMs)) return;
    messages.push({atMs: nowMs + random() * maxDelayMs, handle});
  };
  const state = (entry: number) => {
    const allotments = entries[entry];
    if (allotments?.statementDelayMs(nowMs) !== 0) return;
    const uses = allotments.takeStatement(nowMs);
    largestStatement = Math.max(largestStatement, uses.length);
    const session = sessions[entry] ?? 0;
    const reached = [...nodes.keys()].filter(
      node => !isCut(entry, node, nowMs),
    );
    for (const node of reached.slice(0, TOTAL_NODES)) {
      statements += 1;
      send(entry, node, () => {
        const totals = uses.map(
          use => nodes[node]?.record(session, use, {intervalMs, nowMs}) ?? [],
        );
        send(entry, node, () =>
          // A process that has been replaced does not receive the answer.
          allotments.recordTotals(`node-${node}`, totals.flat(), nowMs),
        );
      });
    }
  };
  for (; nowMs < durationMs; nowMs += STEP_MS) {
    const due = messages.filter(({atMs}) => atMs <= nowMs);
    messages = messages.filter(({atMs}) => atMs > nowMs);
    for (const {handle} of due) handle();
    for (const node of nodes.keys()) {
      if (restartsNode(node, nowMs)) nodes[node] = new AccountTotals();
    }
    for (const entry of entries.keys()) {
      if (restartsEntry(entry, nowMs)) {
        entries[entry] = new EntryAllotments();
        sessions[entry] = nextSession;
        nextSession += 1;
      }
      for (const {name, allotment, perSecond} of loads(entry, nowMs)) {
        const played = steps.get(name) ?? [];
        steps.set(name, played);
        const step = played[nowMs / STEP_MS] ?? {asked: 0, admitted: 0};
        let {asked, admitted} = step;
        // Requests arrive at random times: a Poisson process of the mean amount.
        let left = (perSecond * STEP_MS) / 1_000;
        for (;;) {
          const amount = amountOf(random());
          left += Math.log(1 - random()) * amount;
          if (left <= 0) break;
          const isAdmitted = entries[entry]?.decide(
            {name, allotment},
            {amount, entries: assumedEntries, nowMs, draw: random()},
          ).isAdmitted;
          asked += amount;
          if (isAdmitted) admitted += amount;
        }
        played[nowMs / STEP_MS] = {asked, admitted};
      }
      state(entry);
    }
  }
  return {steps, statements, largestStatement};
}
