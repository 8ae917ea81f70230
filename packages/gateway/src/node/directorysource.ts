/** Interface to the store in which the platform publishes routes, targets and adapter versions. */
import type {Result} from 'ts-results-es';
import type {
  RegisteredTarget,
  RouteTable,
  StorePosition,
} from '@balsamnotch/core';

/** One published change. */
export type DirectoryChange =
  | {readonly kind: 'routes'; readonly table: RouteTable}
  /** An absent `target` means that its entry was removed or is not usable. */
  | {
      readonly kind: 'target';
      readonly id: string;
      readonly target?: RegisteredTarget;
    }
  | {
      readonly kind: 'adapter';
      readonly model: string;
      readonly adapter: string;
      readonly version: number;
    }
  /**
   * A published item that could not be decoded. `reason` names the version and the field that is
   * wrong, without values, which may be secret.
   */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason?: string;
    };

/** Published changes up to a position of the source. */
export interface DirectoryAnswer {
  readonly changes: readonly DirectoryChange[];
  readonly position: StorePosition;
  /** Position of the last operator change in the answer; absent when it contains none. */
  readonly operatorPosition?: StorePosition;
  /** Time for which the source waited without a change, in milliseconds. */
  readonly waitedMs?: number;
}

/** Reason why a call to the source failed. */
export interface DirectoryError {
  /**
   * `no_history`: the source no longer has the changes after the position.
   * `oversized`: the changes exceed the size limit of an answer. Both are
   * followed by a full read. `restored`: the source returned from an older copy
   * during a full read.
   * `unavailable`: the source did not answer. `refused`: the source is
   * temporarily not accepting calls. `invalid`: the answer has an unexpected
   * status or format.
   */
  readonly kind:
    | 'unavailable'
    | 'refused'
    | 'no_history'
    | 'oversized'
    | 'restored'
    | 'invalid';
  readonly message: string;
}

/** Returns whether the source cannot return the changes after a position, which requires a full read. */
export function needsFullRead(kind: DirectoryError['kind']): boolean {
  return kind === 'no_history' || kind === 'oversized';
}

/** Time limits of a watch. */
export interface WatchLimits {
  /** Time for which the source waits for a change, in milliseconds. */
  readonly waitMs: number;
  /**
   * Time after the wait within which the answer must begin, and longest pause in
   * receiving it, in milliseconds.
   */
  readonly answerMs: number;
}

/** Source of published changes. */
export interface DirectorySource {
  /** Whether its answers list the targets; default: true. */
  readonly listsTargets?: boolean;
  /**
   * Reads everything currently published. Each underlying call fails when the
   * source sends nothing for `answerMs` milliseconds.
   */
  read(answerMs: number): Promise<Result<DirectoryAnswer, DirectoryError>>;
  /**
   * Returns the changes after the position as soon as there are any, or none at
   * the end of the wait. The answer may be of another era than the position;
   * changes are missing from it then.
   */
  watch(
    after: StorePosition,
    limits: WatchLimits,
  ): Promise<Result<DirectoryAnswer, DirectoryError>>;
}
