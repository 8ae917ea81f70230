/** Turns of the streams to other nodes in requesting the operator's changes. */
import type {Clock} from '@balsamnotch/core';

/**
 * Minimum time between requests to other nodes for the operator's changes, in
 * milliseconds. Nodes are asked one at a time, because an answer of 1 MB takes
 * a second on a narrow link.
 */
const PEER_REQUEST_INTERVAL_MS = 1_000;

/** Turns of one node's streams. */
export interface PeerRequestTurns {
  /**
   * Limits requests to one stream per {@link PEER_REQUEST_INTERVAL_MS}; returns
   * whether this stream may send one now. The stream that sent the last request
   * waits twice as long, which gives other streams a turn when its node does not
   * answer.
   */
  readonly claim: (stream: object) => boolean;
}

/** Creates the turns of a node that has sent no request yet. */
export function createPeerRequestTurns(clock: Clock): PeerRequestTurns {
  let lastRequestAtMs = -Infinity;
  let lastStream: object | undefined;
  return {
    claim: stream => {
      const nowMs = clock.monotonicMs();
      const minIntervalMs =
        stream === lastStream
          ? 2 * PEER_REQUEST_INTERVAL_MS
          : PEER_REQUEST_INTERVAL_MS;
      if (nowMs - lastRequestAtMs < minIntervalMs) return false;
      lastRequestAtMs = nowMs;
      lastStream = stream;
      return true;
    },
  };
}
