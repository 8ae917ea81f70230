/** What a drill is: a rehearsal against a running deployment. */
import type {ConfigService} from '@balsamnotch/systems';
import type {Result} from 'ts-results-es';
import type {NodeAddress} from '../nodes.js';
import type {Terminal} from '../terminal.js';
import type {CallerAccess} from '../traffic.js';

/** Whether one statement about the deployment held during a drill. */
export interface DrillCheck {
  /** `not shown`: the drill did not meet the situation that the statement is about. */
  readonly verdict: 'held' | 'failed' | 'not shown';
  readonly statement: string;
}

/** What a drill may use; it says which parts it needs. */
export interface DrillContext {
  readonly nodes: readonly NodeAddress[];
  /** Connect server of the node that the drill acts on, `ip:port`. */
  readonly node?: string;
  readonly access?: CallerAccess;
  /** Models to chat with; those loaded at the node when empty. */
  readonly models: readonly string[];
  readonly configService?: ConfigService;
  /** Revision to wait for; the highest in force when absent. */
  readonly revision?: number;
  /** Time that the drill observes or waits for, in milliseconds. */
  readonly durationMs: number;
  /** Chats in progress at once. */
  readonly parallel: number;
  readonly terminal: Terminal;
}

/** Why a drill did not start. */
export interface DrillError {
  readonly kind: 'usage' | 'unreachable';
  readonly message: string;
}

/** A rehearsal with a name. */
export interface Drill {
  readonly name: string;
  readonly summary: string;
  /** Flags that the drill needs. */
  readonly needs: string;
  run(
    context: DrillContext,
  ): Promise<Result<readonly DrillCheck[], DrillError>>;
}

/** A check that held when the condition is true. */
export function drillCheck(isHeld: boolean, statement: string): DrillCheck {
  return {verdict: isHeld ? 'held' : 'failed', statement};
}
