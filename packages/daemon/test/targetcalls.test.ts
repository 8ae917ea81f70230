import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {encodeTicket} from '@balsamnotch/core';
import {Outcome, type CallEvent} from '@balsamnotch/wire';
import {Err} from 'ts-results-es';
import {
  FakePlain,
  envelope,
  okAnswer,
  serve,
  until,
  type ServedTarget,
} from './targetsupport.js';

/** Reads a call stream to its end; returns the text of the result, or reason and outcome. */
async function readResult(events: AsyncIterable<CallEvent>) {
  let event: CallEvent['event'] | undefined;
  for await (const each of events) event = each.event;
  if (event?.case === 'result') {
    return {text: new TextDecoder().decode(event.value.body)};
  }
  assert.equal(event?.case, 'refusal');
  const {reason, outcome} = event.value;
  return {reason, outcome};
}

describe('target calls', () => {
  let plain: FakePlain;
  let served: ServedTarget;

  beforeEach(async () => {
    plain = new FakePlain();
    served = await serve({plain, limits: {maxConcurrentCalls: 1}});
  });
  afterEach(() => served.close());

  function ticketOf(nonce: string, overrides: object = {}): string {
    return encodeTicket({
      service: 'svc',
      target: 'target-1',
      incarnation: 'node-1',
      nonce,
      caller: 'bride',
      issuedNodeClockMs: served.clock.monotonicMs(),
      ...overrides,
    });
  }

  function book(ticket: string, overrides: object = {}) {
    return readResult(
      served.client.call({
        envelope: envelope('c1'),
        service: 'svc',
        operation: 'book',
        body: new Uint8Array([1]),
        ticket,
        ...overrides,
      }),
    );
  }

  function read(overrides: object = {}) {
    return book('', {operation: 'read', repeatable: true, ...overrides});
  }

  function settle(ticket: string, cancel: boolean) {
    return served.client.settle({envelope: envelope('s1'), ticket, cancel});
  }

  // Guards against a refused connection that is reported as unknown although
  // nothing was sent.
  it('returns the answer of a repeatable call and reports a refused connection as not run', async () => {
    plain.answer = okAnswer('sheet');
    assert.deepEqual(await read(), {text: 'sheet'});
    plain.answer = Err({kind: 'unreachable', message: 'refused'});
    assert.deepEqual(await read(), {
      reason: 'service_failed',
      outcome: Outcome.NOT_RUN,
    });
    assert.equal(plain.calls[0]?.freshConnection, false);
  });

  // Guards against running such an operation without a record: a repeat would run
  // it a second time.
  it('refuses a non-repeatable operation that is requested as repeatable', async () => {
    const answer = await read({operation: 'book'});
    assert.equal(answer.reason, 'bad_message');
    assert.equal(plain.calls.length, 0);
  });

  // Guards against a second run for a duplicate, and against a repeat that gets no
  // answer because the node is leaving.
  it('runs a duplicated ticket once and answers both requests and a later repeat', async () => {
    const ticket = ticketOf('n1');
    const duplicates = [book(ticket), book(ticket)];
    await until(() => plain.calls.length === 1, 'call sent to the service');
    plain.reply();
    assert.deepEqual(await Promise.all(duplicates), [
      {text: 'done'},
      {text: 'done'},
    ]);
    served.role.beginStop();
    assert.deepEqual(await book(ticket), {text: 'done'});
    assert.equal(plain.calls.length, 1);
    assert.equal(plain.calls[0]?.freshConnection, true);
  });

  // Guards against a call that arrives after its cancel and still runs.
  it('never runs a call whose ticket was settled with cancel before it arrived', async () => {
    const ticket = ticketOf('n1');
    const settlement = await settle(ticket, true);
    assert.equal(settlement.outcome, Outcome.NOT_RUN);
    assert.deepEqual(await book(ticket), {
      reason: 'cancelled',
      outcome: Outcome.NOT_RUN,
    });
    assert.equal(plain.calls.length, 0);
  });

  // Guards against a queued call that runs after its settle reported not_run.
  it('refuses a queued call that is settled with cancel, and never runs it', async () => {
    const first = book(ticketOf('n1'));
    await until(() => plain.calls.length === 1, 'call sent to the service');
    const ticket = ticketOf('n2');
    const waiting = book(ticket);
    await until(() => served.role.report()?.queued === 1, 'call queued');
    const settlement = await settle(ticket, true);
    assert.equal(settlement.outcome, Outcome.NOT_RUN);
    assert.equal((await waiting).reason, 'cancelled');
    plain.reply();
    await first;
    assert.equal(plain.calls.length, 1);
  });

  // Guards against a settle that reports not_run for a call that is running.
  it('settles a started call with cancel as running until it ends, then with its result', async () => {
    const ticket = ticketOf('n1');
    const call = book(ticket);
    await until(() => plain.calls.length === 1, 'call sent to the service');
    const open = await settle(ticket, true);
    assert.deepEqual([open.outcome, open.running], [Outcome.UNKNOWN, true]);
    plain.reply();
    await call;
    const done = await settle(ticket, true);
    assert.equal(done.outcome, Outcome.RAN);
    assert.equal(new TextDecoder().decode(done.result?.body), 'done');
  });

  // Guards against not_run for a call that may have run: its caller would repeat it.
  it('reports unknown, not not_run, for a lost answer and for a ticket of another process', async () => {
    plain.answer = Err({kind: 'broken', message: 'no answer'});
    const ticket = ticketOf('n1');
    assert.equal((await book(ticket)).outcome, Outcome.UNKNOWN);
    assert.equal((await settle(ticket, true)).outcome, Outcome.UNKNOWN);
    const foreignTicket = ticketOf('n2', {incarnation: 'node-0'});
    assert.deepEqual(await book(foreignTicket), {
      reason: 'wrong_incarnation',
      outcome: Outcome.UNKNOWN,
    });
    assert.equal((await settle(foreignTicket, true)).outcome, Outcome.UNKNOWN);
  });

  // Guards against a queued call that runs after its refusal reported not_run.
  it('refuses a queued call after a pause and never starts it', async () => {
    const running = book(ticketOf('n1'));
    await until(() => plain.calls.length === 1, 'call sent to the service');
    const ticket = ticketOf('n2');
    const waiting = book(ticket);
    await until(() => served.role.report()?.queued === 1, 'call queued');
    served.pauseMs = 3_000;
    plain.reply();
    assert.deepEqual(await waiting, {
      reason: 'paused',
      outcome: Outcome.NOT_RUN,
    });
    await running;
    served.pauseMs = 0;
    assert.equal((await book(ticket)).reason, 'cancelled');
    assert.equal(plain.calls.length, 1);
  });

  // Guards against starting a call whose caller has given up.
  it('refuses a queued call once its deadline has passed on the clock of the node', async () => {
    const running = book(ticketOf('n1'));
    await until(() => plain.calls.length === 1, 'call sent to the service');
    const ticket = ticketOf('n2');
    const waiting = book(ticket, {envelope: envelope('c2', {budgetMs: 600})});
    await until(() => served.role.report()?.queued === 1, 'call queued');
    served.clock.advance(700);
    assert.equal((await waiting).reason, 'deadline_exceeded');
    plain.reply();
    await running;
    assert.equal((await settle(ticket, false)).outcome, Outcome.NOT_RUN);
    assert.equal(plain.calls.length, 1);
  });

  // Guards against a call that runs after a refusal reported not_run.
  it('does not run a late duplicate of a call that it has refused', async () => {
    const ticket = ticketOf('n1');
    served.role.beginStop();
    assert.equal((await book(ticket)).reason, 'leaving');
    served.role.cancelStop();
    assert.equal((await book(ticket)).reason, 'cancelled');
    assert.equal(plain.calls.length, 0);
  });

  // Guards against answering a request with the result of a different one.
  it('refuses a ticket that is reused with another body', async () => {
    plain.answer = okAnswer('done');
    const ticket = ticketOf('n1');
    await book(ticket);
    const reused = await book(ticket, {body: new Uint8Array([2])});
    assert.equal(reused.reason, 'ticket_reused');
  });

  // Guards against an exit that loses the answer of a caller who may still ask for it.
  it('delays a planned stop for 10 s while a finished answer is unread', async () => {
    let stopped = false;
    served.role.stopped$.subscribe(() => (stopped = true));
    const abortController = new AbortController();
    const reader = served.client.call(
      {
        envelope: envelope('c1'),
        service: 'svc',
        operation: 'book',
        ticket: ticketOf('n1'),
      },
      {signal: abortController.signal},
    );
    const read = readResult(reader).catch(() => undefined);
    await until(() => plain.calls.length === 1, 'call sent to the service');
    served.role.beginStop();
    abortController.abort();
    await read;
    await new Promise(resolve => setTimeout(resolve, 300));
    plain.reply();
    await new Promise(resolve => setTimeout(resolve, 300));
    assert.equal(stopped, false);
    served.clock.advance(10_000);
    await until(() => stopped, 'planned stop ended');
  });
});
