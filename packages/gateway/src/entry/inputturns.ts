/** Decides in which turns of the event loop the input of the connections of a process is parsed. */
import {
  chooseCostly,
  RESUMED_REQUESTS_AHEAD,
  WAIT_REASON,
  waitReason,
  type CostlyInput,
  type ParsedInput,
  type WaitReason,
} from '@balsamnotch/core';
import type {InputFeed} from './inputfeed.js';

/** A connection whose input is parsed in turns. */
export interface TurnInput
  extends Omit<ParsedInput, 'piecesInTurn'>, CostlyInput {
  readonly feed: InputFeed;
  /** Whether it is open. */
  readonly isOpen: () => boolean;
  piecesInRow: number;
  /** Why nothing more of it is parsed for now. */
  wait?: WaitReason;
}

/** The turns of the connections of a process. */
export interface InputTurns<Input extends TurnInput> {
  /** Counts a piece of a body of any connection. */
  readonly recordPiece: () => void;
  /** Lets a connection wait if it has to. To be called after each slice of its input. */
  readonly handleSlice: (input: Input) => void;
  /** Parses on if the connection waits for the start of a request. */
  readonly handleStart: (input: Input) => void;
  /** Gives the connection its turn if it waits for answers and few are left. */
  readonly handleAnswer: (input: Input) => void;
}

/** Creates the turns. `closeCostly` closes a connection whose small pieces keep others waiting. */
export function createInputTurns<Input extends TurnInput>(
  closeCostly: (input: Input) => void,
): InputTurns<Input> {
  /** Connections that may be parsed again, in turn. */
  let waiting: readonly Input[] = [];
  let isScheduled = false;
  /** Pieces of the bodies of all connections in the turn in progress. */
  let piecesInTurn = 0;
  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(runTurn);
  };
  /**
   * Parses one waiting connection in each turn: the requests and pieces of all of them together would
   * keep others waiting for seconds.
   */
  const runTurn = () => {
    isScheduled = false;
    piecesInTurn = 0;
    const costly = waiting.filter(
      ({wait, isOpen}) => wait === WAIT_REASON.pieces && isOpen(),
    );
    for (const input of chooseCostly(costly)) closeCostly(input);
    const [next, ...others] = waiting.filter(({isOpen}) => isOpen());
    waiting = others;
    if (next === undefined) return;
    next.wait = undefined;
    next.piecesInRow = 0;
    next.feed.resume();
    schedule();
  };
  const queue = (input: Input) => {
    waiting = [...waiting, input];
    schedule();
  };
  return {
    recordPiece: () => {
      piecesInTurn += 1;
      schedule();
    },
    handleSlice: input => {
      if (input.wait !== undefined) return;
      const {unanswered, piecesInRow, unstartedBytes} = input;
      input.wait = waitReason({
        unanswered,
        piecesInRow,
        piecesInTurn,
        unstartedBytes,
      });
      if (input.wait === undefined) return;
      input.feed.hold();
      if (input.wait === WAIT_REASON.pieces) queue(input);
    },
    handleStart: input => {
      if (input.wait !== WAIT_REASON.start) return;
      input.wait = undefined;
      input.feed.resume();
    },
    handleAnswer: input => {
      const isFewAhead = input.unanswered === RESUMED_REQUESTS_AHEAD;
      if (input.wait === WAIT_REASON.requests && isFewAhead) queue(input);
    },
  };
}
