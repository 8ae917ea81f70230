/** Crashes at different times, and which of them name each part of prompts. */
import type {CrashRecord, CrashSuspect} from './crashrecords.js';
import {SIMULTANEOUS_MS} from './crashrequests.js';

/** Suspects that remain when those of parts already confirmed are left out. */
export interface OpenCrash {
  readonly record: CrashRecord;
  readonly suspects: readonly CrashSuspect[];
}

/** Crashes that count as one. */
export interface CrashEvent {
  /** Keys of their records. */
  readonly keys: readonly string[];
  /** Monotonic times of these crashes, in milliseconds. */
  readonly timesMs: readonly number[];
  readonly suspects: readonly CrashSuspect[];
}

/** What the suspects of an event say about one part. */
export interface PartMention {
  readonly event: CrashEvent;
  /** Sessions of the suspects that name the part. */
  readonly sessions: ReadonlySet<string>;
  /** Greatest position of the part in their prompts. */
  readonly depth: number;
}

/** Groups crashes to events, the oldest first; leaves out those without suspects. */
export function groupEvents(
  crashes: readonly OpenCrash[],
): readonly CrashEvent[] {
  const sorted = crashes
    .filter(({suspects}) => suspects.length > 0)
    .sort((a, b) => a.record.atMs - b.record.atMs);
  const groups: OpenCrash[][] = [];
  for (const crash of sorted) {
    const group = groups.at(-1);
    const first = group?.[0]?.record;
    const isSimultaneous =
      first !== undefined &&
      !first.hasBegun &&
      !crash.record.hasBegun &&
      crash.record.atMs - first.atMs <= SIMULTANEOUS_MS;
    if (isSimultaneous) group?.push(crash);
    else groups.push([crash]);
  }
  return groups.map(group => ({
    keys: group.map(({record}) => record.key),
    timesMs: group.map(({record}) => record.atMs),
    suspects: group.flatMap(({suspects}) => suspects),
  }));
}

/** Returns the parts that the suspects of an event name. */
function mentionsIn(event: CrashEvent): ReadonlyMap<string, PartMention> {
  const mentions = new Map<string, {sessions: Set<string>; depth: number}>();
  for (const {parts, session} of event.suspects) {
    parts.forEach((part, depth) => {
      if (parts.indexOf(part) < depth) return;
      const known = mentions.get(part);
      if (known === undefined) {
        mentions.set(part, {sessions: new Set([session]), depth});
        return;
      }
      known.sessions.add(session);
      known.depth = Math.max(known.depth, depth);
    });
  }
  return new Map(
    [...mentions].map(([part, mention]) => [part, {event, ...mention}]),
  );
}

/**
 * Returns the mentions of each part that several events name, in the order of the events. Takes
 * time in proportion to the parts of all suspects.
 */
export function mentionsByPart(
  events: readonly CrashEvent[],
): ReadonlyMap<string, readonly PartMention[]> {
  const byPart = new Map<string, PartMention[]>();
  for (const event of events) {
    for (const [part, mention] of mentionsIn(event)) {
      const mentions = byPart.get(part);
      if (mentions === undefined) byPart.set(part, [mention]);
      else mentions.push(mention);
    }
  }
  for (const [part, mentions] of byPart) {
    if (mentions.length < 2) byPart.delete(part);
  }
  return byPart;
}
