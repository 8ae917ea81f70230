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
  type Served,
} from './targetsupport.js';

/** Last event of a call stream. */
async function last(events: AsyncIterable<CallEvent>) {
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
  let served: Served;

  beforeEach(async () => {
    plain = new FakePlain();
    served = await serve({plain, limits: {callsAtOnce: 1}});
  });
  afterEach(() => served.close());

  function ticketOf(nonce: string, more: object = {}): string {
    return encodeTicket({
      service: 'svc',
      target: 'target-1',
      incarnation: 'node-1',
      nonce,
      caller: 'bride',
      issuedNodeClockMs: served.clock.monotonicMs(),
      ...more,
    });
  }

  function book(ticket: string, more: object = {}) {
    return last(
      served.client.call({
        envelope: envelope('c1'),
        service: 'svc',
        operation: 'book',
        body: new Uint8Array([1]),
        ticket,
        ...more,
      }),
    );
  }

  function read(more: object = {}) {
    return book('', {operation: 'read', repeatable: true, ...more});
  }

  function settle(ticket: string, cancel: boolean) {
    return served.client.settle({envelope: envelope('s1'), ticket, cancel});
  }

  it('passes a repeatable call through and reports a refused connection as not run', async () => {
    plain.answer = okAnswer('sheet');
    assert.deepEqual(await read(), {text: 'sheet'});
    plain.answer = Err({kind: 'unreachable', message: 'refused'});
    assert.deepEqual(await read(), {
      reason: 'service_failed',
      outcome: Outcome.NOT_RUN,
    });
    assert.equal(plain.calls[0]?.freshConnection, false);
  });

  it('sends a non-repeatable operation only with a record', async () => {
    const answer = await read({operation: 'book'});
    assert.equal(answer.reason, 'bad_message');
    assert.equal(plain.calls.length, 0);
  });

  it('runs a duplicate ticket once and gives both the answer, and a later repeat too', async () => {
    const ticket = ticketOf('n1');
    const both = [book(ticket), book(ticket)];
    await until(() => plain.calls.length === 1, 'sent');
    plain.reply();
    assert.deepEqual(await Promise.all(both), [{text: 'done'}, {text: 'done'}]);
    served.role.beginStop();
    assert.deepEqual(await book(ticket), {text: 'done'});
    assert.equal(plain.calls.length, 1);
    assert.equal(plain.calls[0]?.freshConnection, true);
  });

  it('settles with cancel before the start: the call never runs', async () => {
    const ticket = ticketOf('n1');
    const settled = await settle(ticket, true);
    assert.equal(settled.outcome, Outcome.NOT_RUN);
    assert.deepEqual(await book(ticket), {
      reason: 'cancelled',
      outcome: Outcome.NOT_RUN,
    });
    assert.equal(plain.calls.length, 0);
  });

  it('settles with cancel while the call waits: its entry is told, and it never runs', async () => {
    const first = book(ticketOf('n1'));
    await until(() => plain.calls.length === 1, 'sent');
    const ticket = ticketOf('n2');
    const waiting = book(ticket);
    await until(() => served.role.report()?.queued === 1, 'queued');
    const settled = await settle(ticket, true);
    assert.equal(settled.outcome, Outcome.NOT_RUN);
    assert.equal((await waiting).reason, 'cancelled');
    plain.reply();
    await first;
    assert.equal(plain.calls.length, 1);
  });

  it('settles with cancel after the start: open while it runs, then with its result', async () => {
    const ticket = ticketOf('n1');
    const call = book(ticket);
    await until(() => plain.calls.length === 1, 'sent');
    const open = await settle(ticket, true);
    assert.deepEqual([open.outcome, open.running], [Outcome.UNKNOWN, true]);
    plain.reply();
    await call;
    const done = await settle(ticket, true);
    assert.equal(done.outcome, Outcome.RAN);
    assert.equal(new TextDecoder().decode(done.result?.body), 'done');
  });

  it('gives unknown, not not_run, for a lost answer and for a ticket of another process', async () => {
    plain.answer = Err({kind: 'broken', message: 'no answer'});
    const ticket = ticketOf('n1');
    assert.equal((await book(ticket)).outcome, Outcome.UNKNOWN);
    assert.equal((await settle(ticket, true)).outcome, Outcome.UNKNOWN);
    const other = ticketOf('n2', {incarnation: 'node-0'});
    assert.deepEqual(await book(other), {
      reason: 'wrong_incarnation',
      outcome: Outcome.UNKNOWN,
    });
    assert.equal((await settle(other, true)).outcome, Outcome.UNKNOWN);
  });

  it('records a queued call as never to start after a pause', async () => {
    const running = book(ticketOf('n1'));
    await until(() => plain.calls.length === 1, 'sent');
    const ticket = ticketOf('n2');
    const waiting = book(ticket);
    await until(() => served.role.report()?.queued === 1, 'queued');
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

  it('drops a queued call when its deadline has passed in the clock of the node', async () => {
    const running = book(ticketOf('n1'));
    await until(() => plain.calls.length === 1, 'sent');
    const ticket = ticketOf('n2');
    const waiting = book(ticket, {envelope: envelope('c2', {budgetMs: 600})});
    await until(() => served.role.report()?.queued === 1, 'queued');
    served.clock.advance(700);
    assert.equal((await waiting).reason, 'deadline_exceeded');
    plain.reply();
    await running;
    assert.equal((await settle(ticket, false)).outcome, Outcome.NOT_RUN);
    assert.equal(plain.calls.length, 1);
  });

  it('records a refusal as never to start, so that a late duplicate does not run', async () => {
    const ticket = ticketOf('n1');
    served.role.beginStop();
    assert.equal((await book(ticket)).reason, 'leaving');
    served.role.cancelStop();
    assert.equal((await book(ticket)).reason, 'cancelled');
    assert.equal(plain.calls.length, 0);
  });

  it('refuses another body under the same ticket', async () => {
    plain.answer = okAnswer('done');
    const ticket = ticketOf('n1');
    await book(ticket);
    const other = await book(ticket, {body: new Uint8Array([2])});
    assert.equal(other.reason, 'ticket_reused');
  });

  it('ends a planned stop only when a finished answer was read or 10 s passed', async () => {
    let stopped = false;
    served.role.stopped$.subscribe(() => (stopped = true));
    const gone = new AbortController();
    const reader = served.client.call(
      {
        envelope: envelope('c1'),
        service: 'svc',
        operation: 'book',
        ticket: ticketOf('n1'),
      },
      {signal: gone.signal},
    );
    const read = last(reader).catch(() => undefined);
    await until(() => plain.calls.length === 1, 'sent');
    served.role.beginStop();
    gone.abort();
    await read;
    await new Promise(resolve => setTimeout(resolve, 300));
    plain.reply();
    await new Promise(resolve => setTimeout(resolve, 300));
    assert.equal(stopped, false);
    served.clock.advance(10_000);
    await until(() => stopped, 'stopped');
  });
});
