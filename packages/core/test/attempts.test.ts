import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MAX_ATTEMPTS,
  OUTCOME,
  PHASE,
  SEND_STATE,
  WORK,
  answered,
  beginAttempts,
  connectFailed,
  lost,
  mayHaveRun,
  nextStep,
  refusal,
  refused,
  sent,
  settled,
  ticketIssued,
  type Attempts,
  type HeldTicket,
  type Refusal,
  type Situation,
} from '@balsamnotch/core';
import fc from 'fast-check';

const seed = Number(process.env['BALSAMNOTCH_SEED'] ?? 1);
const TARGETS = ['a', 'b', 'c'];
const open: Situation = {
  phase: PHASE.open,
  candidates: TARGETS,
  mayRetry: true,
};

/** What the network and the targets do with one message. */
const FATES = [
  'unreachable',
  'arrives',
  'answer_lost',
  'never_arrives',
  'arrives_late',
  'refused',
  'restarts',
] as const;
type Fate = (typeof FATES)[number];

type TargetAnswer = 'answered' | Refusal;

/** Targets with their records, and messages that are still under way. */
class World {
  effects = 0;
  readonly late: HeldTicket[] = [];
  private readonly records = new Map<string, 'finished' | 'cancelled'>();
  private readonly incarnations = new Map<string, number>();

  incarnation(target: string): string {
    return `${target}${this.incarnations.get(target) ?? 0}`;
  }

  restart(target: string): void {
    const count = this.incarnations.get(target) ?? 0;
    this.incarnations.set(target, count + 1);
  }

  /** A call arrives at its target. */
  arrive(ticket: HeldTicket): TargetAnswer {
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

  /** `Settle` with cancel arrives. */
  settle(ticket: HeldTicket): 'answered' | 'not_run' | 'unknown' {
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
  before: Attempts,
  target: string,
  fate: Fate,
): Attempts {
  if (fate === 'unreachable') return connectFailed(before, target);
  const ticket = before.ticket!;
  assert.equal(
    target,
    ticket.target,
    'sent to another target than the ticket’s',
  );
  const attempts = sent(before, target);
  if (fate === 'restarts') world.restart(target);
  if (fate === 'never_arrives') return lost(attempts, 'silent');
  if (fate === 'arrives_late') {
    world.late.push(ticket);
    return lost(attempts, 'silent');
  }
  if (fate === 'refused') {
    return refused(attempts, refusal('leaving', 'target leaves'));
  }
  const answer = world.arrive(ticket);
  if (fate === 'answer_lost') return lost(attempts, 'stream_broken');
  if (answer === 'answered') return answered(attempts);
  return refused(attempts, answer);
}

function afterSettle(
  world: World,
  attempts: Attempts,
  ticket: HeldTicket,
  fate: Fate,
): Attempts {
  if (fate === 'restarts') world.restart(ticket.target);
  if (fate === 'unreachable' || fate === 'never_arrives') return attempts;
  const answer = world.settle(ticket);
  if (fate === 'answer_lost') return attempts;
  if (answer === 'answered') return answered(attempts);
  return settled(attempts, {outcome: answer, running: false});
}

/** Runs one request to its end; the phase moves on as the schedule is used up. */
function play(
  world: World,
  begin: Attempts,
  fates: readonly Fate[],
): {attempts: Attempts; said: 'reply' | Refusal} {
  let attempts = begin;
  let tickets = 0;
  for (let i = 0; i < 60; i++) {
    if (fates[i] === 'arrives_late' && world.late[0]) {
      world.arrive(world.late.shift()!);
    }
    const left = fates.length - i;
    const phase = left > 3 ? PHASE.open : left > 0 ? PHASE.closing : PHASE.over;
    const step = nextStep(attempts, {...open, phase});
    const fate = fates[i] ?? 'never_arrives';
    switch (step.kind) {
      case 'reply':
        return {attempts, said: 'reply'};
      case 'refuse':
        return {attempts, said: step.refusal};
      case 'issue': {
        const {target} = step;
        const incarnation = world.incarnation(target);
        const text = `ticket-${tickets++}`;
        attempts = ticketIssued(attempts, {text, target, incarnation});
        break;
      }
      case 'settle':
        attempts = afterSettle(world, attempts, step.ticket, fate);
        break;
      case 'send':
      case 'reattach':
        attempts = afterSend(world, attempts, step.target, fate);
    }
    assert.ok(attempts.count <= MAX_ATTEMPTS);
  }
  return assert.fail('the request did not end');
}

const fates = fc.array(fc.constantFrom(...FATES), {
  minLength: 4,
  maxLength: 12,
});

function check(
  world: World,
  {attempts, said}: ReturnType<typeof play>,
  effectsBefore: number,
): void {
  for (const ticket of world.late) world.arrive(ticket);
  assert.ok(world.effects <= 1, `${world.effects} effects`);
  const caused = world.effects - effectsBefore;
  if (said === 'reply') {
    assert.equal(world.effects, 1, 'replied without an effect');
    return;
  }
  if (said.outcome === OUTCOME.notRun) {
    assert.equal(world.effects, 0, 'said not_run, but the call ran');
    const isAnswered = attempts.sends.every(
      send => send.state === SEND_STATE.refused || send.isVoided === true,
    );
    assert.ok(isAnswered, 'said not_run with a send that has no answer');
  }
  if (said.outcome === OUTCOME.ran) assert.ok(caused + effectsBefore === 1);
}

describe('attempts', () => {
  it('never says not_run of a call that ran or may run, and runs it at most once', () => {
    const seen = {reply: 0, not_run: 0, unknown: 0, ran: 0};
    fc.assert(
      fc.property(fates, schedule => {
        const world = new World();
        const end = play(world, beginAttempts(WORK.ticketed), schedule);
        seen[end.said === 'reply' ? 'reply' : end.said.outcome]++;
        check(world, end, 0);
      }),
      {seed, numRuns: 5_000},
    );
    assert.ok(Math.min(seen.reply, seen.not_run, seen.unknown) > 50);
  });

  it('never says not_run of a ticket of the caller that an earlier request used', () => {
    const earlier = fc.constantFrom('none', 'ran', 'under_way');
    fc.assert(
      fc.property(fates, earlier, (schedule, past) => {
        const world = new World();
        const ticket = {
          text: 'supplied',
          target: 'a',
          incarnation: world.incarnation('a'),
          issuedHere: false,
        };
        if (past === 'ran') world.arrive(ticket);
        if (past === 'under_way') world.late.push(ticket);
        const before = world.effects;
        const begin = beginAttempts(WORK.ticketed, ticket);
        check(world, play(world, begin, schedule), before);
      }),
      {seed, numRuns: 5_000},
    );
  });

  it('says not_run for a refusal by another process only of the only send', () => {
    const ticket = {text: 't', target: 'a', incarnation: 'a1'};
    const issued = ticketIssued(beginAttempts(WORK.ticketed), ticket);
    const other = refusal('wrong_incarnation', 'other process', {
      outcome: OUTCOME.unknown,
    });
    const once = refused(sent(issued, 'a'), other);
    assert.equal(mayHaveRun(once), false);
    assert.equal(mayHaveRun(refused(sent(once, 'a'), other)), true);
  });

  it('runs a call elsewhere after its silent target recorded that it never starts', () => {
    const ticket = {text: 't', target: 'a', incarnation: 'a1'};
    let attempts = ticketIssued(beginAttempts(WORK.ticketed), ticket);
    for (let i = 0; i < 2; i++) attempts = lost(sent(attempts, 'a'), 'silent');
    assert.equal(nextStep(attempts, open).kind, 'settle');
    const never = {outcome: OUTCOME.notRun, running: false};
    const next = nextStep(settled(attempts, never), open);
    assert.deepEqual(next, {kind: 'issue', target: 'b'});
  });

  describe('chat', () => {
    const lostOnce = lost(sent(beginAttempts(WORK.chat), 'a'), 'silent');

    it('reattaches to a silent target once and then goes elsewhere', () => {
      assert.deepEqual(nextStep(lostOnce, open), {
        kind: 'reattach',
        target: 'a',
      });
      const lostTwice = lost(sent(lostOnce, 'a', true), 'silent');
      assert.deepEqual(nextStep(lostTwice, open), {kind: 'send', target: 'b'});
    });

    it('stops after its attempts, so that retries do not multiply', () => {
      let attempts = lost(sent(lostOnce, 'a', true), 'silent');
      attempts = lost(sent(attempts, 'b'), 'silent');
      const step = nextStep(attempts, open);
      assert.equal(step.kind, 'refuse');
    });

    it('starts no second attempt without room in the retry budget', () => {
      const begin = sent(beginAttempts(WORK.chat), 'a');
      const attempts = refused(begin, refusal('leaving', 'target leaves'));
      const step = nextStep(attempts, {...open, mayRetry: false});
      assert.equal(step.kind === 'refuse' && step.refusal.outcome, 'not_run');
    });

    // Calls to a target that had gone used up the budget before one of them was sent.
    it('takes nothing from the retry budget while no target was reached', () => {
      const begin = beginAttempts(WORK.ticketed);
      const attempts = connectFailed(begin, 'a');
      const step = nextStep(attempts, {...open, mayRetry: false});
      assert.deepEqual(step, {kind: 'issue', target: 'b'});
    });

    it('says unknown of a chat whose send stayed without an answer', () => {
      const step = nextStep(lostOnce, {...open, phase: PHASE.over});
      assert.ok(step.kind === 'refuse');
      assert.equal(step.refusal.reason, 'deadline_exceeded');
      assert.equal(step.refusal.outcome, 'unknown');
    });
  });

  it('ignores an answer of an attempt that was given up', () => {
    const attempts = lost(sent(beginAttempts(WORK.repeatable), 'a'), 'silent');
    const late = refused(attempts, refusal('overloaded', 'queue is full'));
    assert.equal(late, attempts);
  });
});
