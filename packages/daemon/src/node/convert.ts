/** Conversions between wire messages and the types of the core package. */
import {create} from '@bufbuild/protobuf';
import {
  NODE_STATE,
  OUTCOME,
  isRefusalReason,
  refusal,
  type NodeState,
  type Outcome,
  type Refusal,
  type TargetReport,
} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';

const STATE_TO_WIRE = {
  [NODE_STATE.starting]: wire.NodeState.STARTING,
  [NODE_STATE.serving]: wire.NodeState.SERVING,
  [NODE_STATE.leaving]: wire.NodeState.LEAVING,
} as const;

const OUTCOME_TO_WIRE = {
  [OUTCOME.notRun]: wire.Outcome.NOT_RUN,
  [OUTCOME.ran]: wire.Outcome.RAN,
  [OUTCOME.unknown]: wire.Outcome.UNKNOWN,
} as const;

/** Converts a node state to its wire value. */
export function stateToWire(state: NodeState): wire.NodeState {
  return STATE_TO_WIRE[state];
}

/** Converts a wire value to a node state. An unknown value becomes `starting`, which accepts no work. */
export function stateFromWire(state: wire.NodeState): NodeState {
  if (state === wire.NodeState.SERVING) return NODE_STATE.serving;
  if (state === wire.NodeState.LEAVING) return NODE_STATE.leaving;
  return NODE_STATE.starting;
}

/** Converts an outcome to its wire value. */
export function outcomeToWire(outcome: Outcome): wire.Outcome {
  return OUTCOME_TO_WIRE[outcome];
}

/** Converts a wire value to an outcome. An unknown value becomes `unknown`. */
export function outcomeFromWire(outcome: wire.Outcome): Outcome {
  if (outcome === wire.Outcome.NOT_RUN) return OUTCOME.notRun;
  if (outcome === wire.Outcome.RAN) return OUTCOME.ran;
  return OUTCOME.unknown;
}

/** Converts a refusal to its wire message. */
export function refusalToWire(value: Refusal): wire.Refusal {
  return create(wire.RefusalSchema, {
    reason: value.reason,
    message: value.message,
    outcome: outcomeToWire(value.outcome),
    retryAfterMs: value.retryAfterMs,
  });
}

/** Converts a wire message to a refusal. An unknown reason becomes `bad_message`; the outcome is preserved. */
export function refusalFromWire(message: wire.Refusal): Refusal {
  const reason = isRefusalReason(message.reason)
    ? message.reason
    : 'bad_message';
  return refusal(reason, message.message, {
    outcome: outcomeFromWire(message.outcome),
    retryAfterMs: message.retryAfterMs,
  });
}

/** Converts a target report to its wire message. */
export function reportToWire(report: TargetReport): wire.Report {
  return create(wire.ReportSchema, {
    ...report,
    revision: BigInt(report.revision),
    state: stateToWire(report.state),
    loaded: report.loaded.map(adapter => ({...adapter})),
  });
}

/** Converts a wire message to a target report. */
export function reportFromWire(message: wire.Report): TargetReport {
  return {
    node: message.node,
    incarnation: message.incarnation,
    engineIncarnation: message.engineIncarnation,
    nodeClockMs: message.nodeClockMs,
    revision: Number(message.revision),
    state: stateFromWire(message.state),
    queued: message.queued,
    active: message.active,
    batchSize: message.batchSize,
    slots: message.slots,
    loaded: message.loaded.map(({adapter, version, active, queued}) => ({
      adapter,
      version,
      active,
      queued,
    })),
    loadsPending: message.loadsPending,
    serviceMs: message.serviceMs,
  };
}
