/** Interface of drills: rehearsals of a situation against a running deployment. */
import type {ConfigService} from '@balsamnotch/systems';
import type {Result} from 'ts-results-es';
import type {NodeAddress} from '../nodes.js';
import type {Terminal} from '../terminal.js';
import type {CallerAccess} from '../traffic.js';

/** Verdict on one statement about the deployment. */
export interface DrillCheck {
  /** `not shown`: the situation that the statement is about did not occur during the drill. */
  readonly verdict: 'held' | 'failed' | 'not shown';
  readonly statement: string;
}

/** Options and dependencies of a drill; each drill names the ones it needs. */
export interface DrillContext {
  readonly nodes: readonly NodeAddress[];
  /** Connect server of the node that the drill acts on, `ip:port`. */
  readonly node?: string;
  /** Access for chats; absent when the drill cannot send any. */
  readonly access?: CallerAccess;
  /** Models to request; when empty, a stop drill uses the adapters loaded at the node. */
  readonly models: readonly string[];
  readonly configService?: ConfigService;
  /** Revision to wait for; when absent, the highest one found at the nodes. */
  readonly revision?: number;
  /** Longest time that the drill waits or observes, in milliseconds. */
  readonly durationMs: number;
  /** Number of concurrent chats. */
  readonly parallel: number;
  readonly terminal: Terminal;
}

/** Error that kept a drill from running; `kind` selects the exit code. */
export interface DrillError {
  readonly kind: 'usage' | 'unreachable';
  readonly message: string;
}

/** A drill as it is listed and run. */
export interface Drill {
  readonly name: string;
  readonly summary: string;
  /** Required and optional flags, as printed by `drill --list`. */
  readonly needs: string;
  run(
    context: DrillContext,
  ): Promise<Result<readonly DrillCheck[], DrillError>>;
}

/** Creates a check with the verdict `held` or `failed`. */
export function drillCheck(hasHeld: boolean, statement: string): DrillCheck {
  return {verdict: hasHeld ? 'held' : 'failed', statement};
}
