/**
 * Plans which faults a soak injects and when. The plan depends only on the seed, so a run can
 * be repeated.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of faults. All are injected from outside the nodes. */
export const FAULT = {
  /** SIGKILL, then a restart of the process. */
  kill: 'kill',
  /** SIGTERM, then a restart of the process. */
  stop: 'stop',
  /** SIGSTOP, then SIGCONT. */
  freeze: 'freeze',
  /** Open connections to the node and new ones are reset. */
  cut: 'cut',
  /** Connections to the node stay open, but all data is discarded. */
  silent: 'silent',
  /** Data that the node sends is discarded; data sent to it arrives. */
  silentFromNode: 'silent_from_node',
  /** The target's engine or plain service restarts with empty state. */
  serviceRestart: 'beside_restart',
  /** The target's engine or plain service refuses connections. */
  serviceRefuses: 'beside_refuses',
  /** The target's engine or plain service delays its responses. */
  serviceSlow: 'beside_slow',
  /** The plain service executes the call, then resets the connection instead of responding. */
  answerLost: 'answer_lost',
  /** The configuration service refuses connections. */
  configAbsent: 'config_absent',
  /** The configuration service accepts requests but never responds. */
  configSilent: 'config_silent',
  /** The configuration service returns the previous configuration. */
  configStale: 'config_stale',
  /** Not a failure: an operator publishes the next revision. */
  publish: 'publish',
} as const;

/** One of the values of {@link FAULT}. */
export type FaultKind = (typeof FAULT)[keyof typeof FAULT];

/** A fault and the time at which it is injected. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Affected node; empty for the configuration service. */
  readonly node: string;
  /** Start of the fault, in milliseconds after the start of the load. */
  readonly atMs: number;
  /** Duration of the fault, in milliseconds. */
  readonly lengthMs: number;
}

/** Names of the nodes that faults can affect. */
export interface SoakNodes {
  readonly entries: readonly string[];
  readonly engineTargets: readonly string[];
  readonly plainTargets: readonly string[];
}

/**
 * Mean time between the starts of faults, in milliseconds. Most faults last longer, so they
 * overlap.
 */
const MEAN_FAULT_INTERVAL_MS = 700;

/**
 * Shortest and longest fault, in milliseconds. The minimum is below the heartbeat interval; the
 * maximum exceeds the initial time for which entries avoid a failed target.
 */
const MIN_FAULT_DURATION_MS = 150;
const MAX_FAULT_DURATION_MS = 3_500;

/** Probability that a fault is repeated as a series on the same node. */
const SERIES_PROBABILITY = 0.25;

/** Number of faults in a series. */
const SERIES_LENGTH = 3;

/** Number of random values discarded after seeding. */
const WARM_UP_DRAWS = 20;

const NODE_FAULTS: readonly FaultKind[] = [
  FAULT.kill,
  FAULT.stop,
  FAULT.freeze,
];
const TARGET_FAULTS: readonly FaultKind[] = [
  ...NODE_FAULTS,
  FAULT.cut,
  FAULT.silent,
  FAULT.silentFromNode,
  FAULT.serviceRestart,
  FAULT.serviceRefuses,
  FAULT.serviceSlow,
];
const CONFIG_SERVICE_FAULTS: readonly FaultKind[] = [
  FAULT.configAbsent,
  FAULT.configSilent,
  FAULT.configStale,
  FAULT.publish,
];

/** Draws the faults of a soak of `durationMs` from a seed, ordered by start time. */
export function planFaults(
  seed: number,
  {entries, engineTargets, plainTargets}: SoakNodes,
  durationMs: number,
): readonly PlannedFault[] {
  const generator = xoroshiro128plus(seed);
  const nextRandom = () => uniformFloat64(generator);
  // Small seeds differ in only a few bits. It takes several draws until these affect the output.
  for (let i = 0; i < WARM_UP_DRAWS; i++) nextRandom();
  const pickRandom = <T>(items: readonly T[]): T =>
    items[Math.floor(nextRandom() * items.length)] as T;
  const faultGroups: ReadonlyArray<{
    readonly nodes: readonly string[];
    readonly kinds: readonly FaultKind[];
  }> = [
    {nodes: entries, kinds: NODE_FAULTS},
    {nodes: engineTargets, kinds: TARGET_FAULTS},
    {nodes: plainTargets, kinds: [...TARGET_FAULTS, FAULT.answerLost]},
    {nodes: [''], kinds: CONFIG_SERVICE_FAULTS},
  ];
  const faults: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += -Math.log(1 - nextRandom()) * MEAN_FAULT_INTERVAL_MS;
    const {nodes, kinds} = pickRandom(faultGroups);
    const node = pickRandom(nodes);
    const kind = pickRandom(kinds);
    const lengthMs =
      MIN_FAULT_DURATION_MS +
      nextRandom() ** 2 * (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
    const count = nextRandom() < SERIES_PROBABILITY ? SERIES_LENGTH : 1;
    for (let i = 0; i < count; i++) {
      const delayMs = i * (lengthMs + nextRandom() * MEAN_FAULT_INTERVAL_MS);
      faults.push({
        kind,
        node,
        atMs: atMs + delayMs,
        lengthMs,
      });
    }
  }
  return faults
    .filter(fault => fault.atMs < durationMs)
    .sort((a, b) => a.atMs - b.atMs);
}
