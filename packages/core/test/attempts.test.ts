import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MAX_ATTEMPTS,
  OUTCOME,
  PHASE,
  SEND_STATE,
  WORK,
  addAnswer,
  beginAttempts,
  addConnectFailure,
  addLoss,
  mayHaveRun,
  nextStep,
  refusal,
  addRefusal,
  addSend,
  addSettlement,
  addIssuedTicket,
  type Attempts,
  type RequestTicket,
  type Refusal,
  type StepConditions,
} from '@balsamnotch/core';
import fc from 'fast-check';

const seed = Number(process.env['BALSAMNOTCH_SEED'] ?? 1);
const TARGETS = ['a', 'b', 'c'];
const openSituation: StepConditions = {
  phase: PHASE.open,
  candidates: TARGETS,
  mayRetry: true,
};

/** What can happen to one message in the network and at its target. */
const NETWORK_EVENTS = [
  'unreachable',
  'arrives',
  'answer_lost',
  'never_arrives',
  'arrives_late',
  'refused',
  'restarts',
] as const;
type NetworkEvent = (typeof NETWORK_EVENTS)[number];

type TargetAnswer = 'answered' | Refusal;

/** Simulated targets with their call records, and calls still in transit. */
class World {
  effects = 0;
  readonly delayedCalls: RequestTicket[] = [];
  private readonly records = new Map<string, 'finished' | 'cancelled'>();
  private readonly incarnations = new Map<string, number>();

  incarnation(target: string): string {
    return `${target}${this.incarnations.get(target) ?? 0}`;
  }

  restart(target: string): void {
    const count = this.incarnations.get(target) ?? 0;
    this.incarnations.set(target, count + 1);
  }

  /** Handles a call that arrives at its target. */
  arrive(ticket: RequestTicket): TargetAnswer {
    if (this.incarnation(ticket.target) !== ticket.incarnation) {
      const outcome = OUTCOME.unknown;
      return refusal('wrong_incarnation', 'other process', {outcome});
    }
    const record = this.records.get(ticket.text);
    if (record === 'cancelled') return refusal('cancelled', 'cancelled');
    if (record === undefined) {
      this.records.set(ticket.text, 'finished');
      this.effects++;
    }
    return 'answered';
  }

  /** Handles a `Settle` with cancel that arrives at the target. */
  settle(ticket: RequestTicket): 'answered' | 'not_run' | 'unknown' {
    if (this.incarnation(ticket.target) !== ticket.incarnation) {
      return 'unknown';
    }
    if (this.records.get(ticket.text) === 'finished') return 'answered';
    this.records.set(ticket.text, 'cancelled');
    return 'not_run';
  }
}

function afterSend(
  world: World,
  previous: Attempts,
  target: string,
  event: NetworkEvent,
): Attempts {
  if (event === 'unreachable') return addConnectFailure(previous, target);
  const ticket = previous.ticket!;
  assert.equal(
    target,
    ticket.target,
    'sent to a target that the ticket is not bound to',
  );
  const attempts = addSend(previous, target);
  if (event === 'restarts') world.restart(target);
  if (event === 'never_arrives') return addLoss(attempts, 'silent');
  if (event === 'arrives_late') {
    world.delayedCalls.push(ticket);
    return addLoss(attempts, 'silent');
  }
  if (event === 'refused') {
    return addRefusal(attempts, refusal('leaving', 'target leaves'));
  }
  const answer = world.arrive(ticket);
  if (event === 'answer_lost') return addLoss(attempts, 'stream_broken');
  if (answer === 'answered') return addAnswer(attempts);
  return addRefusal(attempts, answer);
}

function afterSettle(
  world: World,
  attempts: Attempts,
  ticket: RequestTicket,
  event: NetworkEvent,
): Attempts {
  if (event === 'restarts') world.restart(ticket.target);
  if (event === 'unreachable' || event === 'never_arrives') return attempts;
  const answer = world.settle(ticket);
  if (event === 'answer_lost') return attempts;
  if (answer === 'answered') return addAnswer(attempts);
  return addSettlement(attempts, {outcome: answer, running: false});
}

/** Runs one request to its end. The phase advances as the schedule runs out. */
function runRequest(
  world: World,
  begin: Attempts,
  networkEvents: readonly NetworkEvent[],
): {attempts: Attempts; result: 'reply' | Refusal} {
  let attempts = begin;
  let tickets = 0;
  for (let i = 0; i < 60; i++) {
    if (networkEvents[i] === 'arrives_late' && world.delayedCalls[0]) {
      world.arrive(world.delayedCalls.shift()!);
    }
    const stepsLeft = networkEvents.length - i;
    const phase =
      stepsLeft > 3 ? PHASE.open : stepsLeft > 0 ? PHASE.closing : PHASE.over;
    const step = nextStep(attempts, {...openSituation, phase});
    const event = networkEvents[i] ?? 'never_arrives';
    switch (step.kind) {
      case 'reply':
        return {attempts, result: 'reply'};
      case 'refuse':
        return {attempts, result: step.refusal};
      case 'issue': {
        const {target} = step;
        const incarnation = world.incarnation(target);
        const text = `ticket-${tickets++}`;
        attempts = addIssuedTicket(attempts, {text, target, incarnation});
        break;
      }
      case 'settle':
        attempts = afterSettle(world, attempts, step.ticket, event);
        break;
      case 'send':
      case 'reattach':
        attempts = afterSend(world, attempts, step.target, event);
    }
    assert.ok(attempts.attemptCount <= MAX_ATTEMPTS);
  }
  return assert.fail('the request did not end');
}

const schedules = fc.array(fc.constantFrom(...NETWORK_EVENTS), {
  minLength: 4,
  maxLength: 12,
});

function check(
  world: World,
  {attempts, result}: ReturnType<typeof runRequest>,
  effectsBefore: number,
): void {
  for (const ticket of world.delayedCalls) world.arrive(ticket);
  assert.ok(world.effects <= 1, `the call ran ${world.effects} times`);
  const effects = world.effects - effectsBefore;
  if (result === 'reply') {
    assert.equal(world.effects, 1, 'replied, but the call did not run');
    return;
  }
  if (result.outcome === OUTCOME.notRun) {
    assert.equal(world.effects, 0, 'reported not_run, but the call ran');
    const areSendsClosed = attempts.sends.every(
      send => send.state === SEND_STATE.refused || send.isVoided === true,
    );
    assert.ok(
      areSendsClosed,
      'reported not_run with a send that is neither refused nor voided',
    );
  }
  if (result.outcome === OUTCOME.ran) assert.ok(effects + effectsBefore === 1);
}

describe('attempts', () => {
  it('never reports not_run for a call that ran or may still run, and runs it at most once', () => {
    const seen = {reply: 0, not_run: 0, unknown: 0, ran: 0};
    fc.assert(
      fc.property(schedules, schedule => {
        const world = new World();
        const run = runRequest(world, beginAttempts(WORK.ticketed), schedule);
        seen[run.result === 'reply' ? 'reply' : run.result.outcome]++;
        check(world, run, 0);
      }),
      {seed, numRuns: 5_000},
    );
    assert.ok(Math.min(seen.reply, seen.not_run, seen.unknown) > 50);
  });

  it('never reports not_run for a ticket supplied by the caller if an earlier request ran the call or may still run it', () => {
    const earlierCalls = fc.constantFrom('none', 'ran', 'under_way');
    fc.assert(
      fc.property(schedules, earlierCalls, (schedule, earlierCall) => {
        const world = new World();
        const ticket = {
          text: 'supplied',
          target: 'a',
          incarnation: world.incarnation('a'),
          issuedHere: false,
        };
        if (earlierCall === 'ran') world.arrive(ticket);
        if (earlierCall === 'under_way') world.delayedCalls.push(ticket);
        const effectsBefore = world.effects;
        const begin = beginAttempts(WORK.ticketed, ticket);
        check(world, runRequest(world, begin, schedule), effectsBefore);
      }),
      {seed, numRuns: 5_000},
    );
  });

  it('treats a refusal by another incarnation as proof that nothing ran only after a single send', () => {
    const ticket = {text: 't', target: 'a', incarnation: 'a1'};
    const issued = addIssuedTicket(beginAttempts(WORK.ticketed), ticket);
    const other = refusal('wrong_incarnation', 'other process', {
      outcome: OUTCOME.unknown,
    });
    const refusedOnce = addRefusal(addSend(issued, 'a'), other);
    assert.equal(mayHaveRun(refusedOnce), false);
    assert.equal(
      mayHaveRun(addRefusal(addSend(refusedOnce, 'a'), other)),
      true,
    );
  });

  it('issues a ticket for another target after the silent target recorded that the call never starts', () => {
    const ticket = {text: 't', target: 'a', incarnation: 'a1'};
    let state = addIssuedTicket(beginAttempts(WORK.ticketed), ticket);
    for (let i = 0; i < 2; i++) state = addLoss(addSend(state, 'a'), 'silent');
    assert.equal(nextStep(state, openSituation).kind, 'settle');
    const neverStarts = {outcome: OUTCOME.notRun, running: false};
    const next = nextStep(addSettlement(state, neverStarts), openSituation);
    assert.deepEqual(next, {kind: 'issue', target: 'b'});
  });

  describe('chat', () => {
    const lostOnce = addLoss(addSend(beginAttempts(WORK.chat), 'a'), 'silent');

    it('reattaches to a silent target once, then sends to another target', () => {
      assert.deepEqual(nextStep(lostOnce, openSituation), {
        kind: 'reattach',
        target: 'a',
      });
      const lostTwice = addLoss(addSend(lostOnce, 'a', true), 'silent');
      assert.deepEqual(nextStep(lostTwice, openSituation), {
        kind: 'send',
        target: 'b',
      });
    });

    it('refuses after the maximum number of attempts (retries would multiply the load)', () => {
      let attempts = addLoss(addSend(lostOnce, 'a', true), 'silent');
      attempts = addLoss(addSend(attempts, 'b'), 'silent');
      const step = nextStep(attempts, openSituation);
      assert.equal(step.kind, 'refuse');
    });

    it('starts no second attempt when the retry budget is exhausted', () => {
      const begin = addSend(beginAttempts(WORK.chat), 'a');
      const attempts = addRefusal(begin, refusal('leaving', 'target leaves'));
      const step = nextStep(attempts, {...openSituation, mayRetry: false});
      assert.equal(step.kind === 'refuse' && step.refusal.outcome, 'not_run');
    });

    // Regression: failed connections to a target that had left used up the retry budget, although
    // none of the calls had been sent.
    it('does not draw on the retry budget while no target was reached', () => {
      const begin = beginAttempts(WORK.ticketed);
      const attempts = addConnectFailure(begin, 'a');
      const step = nextStep(attempts, {...openSituation, mayRetry: false});
      assert.deepEqual(step, {kind: 'issue', target: 'b'});
    });

    it('reports unknown for a chat whose send was not answered', () => {
      const step = nextStep(lostOnce, {...openSituation, phase: PHASE.over});
      assert.ok(step.kind === 'refuse');
      assert.equal(step.refusal.reason, 'deadline_exceeded');
      assert.equal(step.refusal.outcome, 'unknown');
    });
  });

  it('ignores the answer to an abandoned attempt', () => {
    const attempts = addLoss(
      addSend(beginAttempts(WORK.repeatable), 'a'),
      'silent',
    );
    const afterLateRefusal = addRefusal(
      attempts,
      refusal('overloaded', 'queue is full'),
    );
    assert.equal(afterLateRefusal, attempts);
  });
});
