/** The questions that an entry asks target nodes for leases, in proportion to its requests. */
import {
  INITIAL_QUESTIONS,
  withQuestion,
  withQuestioningRequest,
  type QuestionBudget,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';

/** Mutable budget of one entry. */
export class LeaseQuestions {
  private budget: QuestionBudget = INITIAL_QUESTIONS;

  constructor(private readonly context: Pick<GatewayContext, 'metrics'>) {}

  /** Records that an attempt of a request begins to ask for leases. */
  recordRequest(): void {
    this.budget = withQuestioningRequest(this.budget);
  }

  /** Takes a question of an attempt that has asked `asked` nodes; returns false if it may not ask. */
  mayAsk(asked: number): boolean {
    const next = withQuestion(this.budget, asked);
    if (next === undefined) {
      this.context.metrics.count('lease_question_refused');
      return false;
    }
    this.budget = next;
    return true;
  }
}
