/** Which target nodes an entry states the use of accounts to. */

/** Target nodes that each entry states its use to; with two, the totals outlive the loss of one. */
export const TOTAL_NODES = 2;

/**
 * Statements without an answer after which a node is taken for silent. Fewer are lost by chance;
 * a probe, which finds every silent node, comes around only each 12 s.
 */
const SILENT_STATEMENTS = 3;

/** Least time since the first of them, in milliseconds. */
const SILENT_MS = 600;

/** Time after which a silent node gets another statement, in milliseconds. */
const SILENT_RETRY_MS = 5_000;

/** Statements to one node since its last answer. Times are monotonic, in milliseconds. */
interface Unanswered {
  readonly count: number;
  readonly firstAtMs: number;
  readonly lastAtMs: number;
}

/** Mutable record of the statements that target nodes left unanswered, by the node's address. */
export class TotalNodes {
  private readonly unanswered = new Map<string, Unanswered>();

  /** Returns the nodes for the next statement, of those that are reached in order of preference. */
  choose(reached: readonly string[], nowMs: number): readonly string[] {
    const answering = reached.filter(node => !this.isSilent(node, nowMs));
    for (const node of this.unanswered.keys()) {
      if (!reached.includes(node)) this.unanswered.delete(node);
    }
    return answering.slice(0, TOTAL_NODES);
  }

  /** Records a statement. */
  recordStatement(node: string, nowMs: number): void {
    const {count = 0, firstAtMs = nowMs} = this.unanswered.get(node) ?? {};
    this.unanswered.set(node, {count: count + 1, firstAtMs, lastAtMs: nowMs});
  }

  /** Records an answer. */
  recordAnswer(node: string): void {
    this.unanswered.delete(node);
  }

  private isSilent(node: string, nowMs: number): boolean {
    const unanswered = this.unanswered.get(node);
    return (
      unanswered !== undefined &&
      unanswered.count >= SILENT_STATEMENTS &&
      nowMs - unanswered.firstAtMs >= SILENT_MS &&
      nowMs - unanswered.lastAtMs < SILENT_RETRY_MS
    );
  }
}
