/** Steps in which callers confirm bookings. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {decodeTicket} from '@balsamnotch/core';
import {post} from '@balsamnotch/demo';
import {
  confirmBooking,
  confirmWithoutTicket,
  refusalOf,
  type ConfirmationResult,
} from '../caller.js';
import {countEffectsByBooking} from '../deployment.js';
import {findConfirmationViolations} from '../soak/promises.js';
import type {Scenario} from '../world.js';

/** Delay before a call is repeated, in milliseconds; `Retry-After` of the refusals. */
const REPEAT_DELAY_MS = 100;

/** Deadline of a confirmation, in milliseconds. */
const CONFIRMATION_DEADLINE_MS = 6_000;

/** Obtains a ticket that is bound to `target` and stores it for the booking. */
async function obtainTicket(
  scenario: Scenario,
  booking: string,
  target: string,
): Promise<void> {
  // The entry chooses the target of each ticket, so request tickets until one names this target.
  for (let i = 0; i < 200; i++) {
    const path = '/v1/services/booking/tickets';
    const answer = await post(scenario.entryAccess('entry-1'), path, {});
    const {ticket} = JSON.parse(answer.body) as {ticket: string};
    if (decodeTicket(ticket).unwrap().target === target) {
      scenario.tickets.set(booking, ticket);
      return;
    }
  }
  assert.fail(`no ticket for ${target}`);
}

Given(
  'a ticket of {string} for booking {string}',
  async function (this: Scenario, target: string, booking: string) {
    await obtainTicket(this, booking, target);
  },
);

When(
  'the caller confirms booking {string} through {string}',
  function (this: Scenario, booking: string, entry: string) {
    const ticket = this.tickets.get(booking) ?? '';
    const answer = confirmBooking(
      this.entryAccess(entry),
      ticket,
      booking,
      CONFIRMATION_DEADLINE_MS,
    );
    // The scenario may kill the entry before it responds.
    answer.catch(() => undefined);
    this.responses.set(booking, answer);
  },
);

/** Number of tickets within which a target that was paused takes a call. */
const MAX_TICKETS_AFTER_PAUSE = 20;

When(
  'the caller confirms booking {string} through {string}, with a new ticket if its target was paused',
  async function (this: Scenario, booking: string, entry: string) {
    for (let i = 0; i < MAX_TICKETS_AFTER_PAUSE; i++) {
      const ticket = this.tickets.get(booking) ?? '';
      const answer = await confirmBooking(
        this.entryAccess(entry),
        ticket,
        booking,
        CONFIRMATION_DEADLINE_MS,
      );
      this.responses.set(booking, Promise.resolve(answer));
      const refusal = refusalOf(answer);
      if (refusal?.reason !== 'paused') return;
      // The refused ticket never runs, so it says nothing about an answer that is lost.
      assert.equal(refusal.outcome, 'not_run');
      assert.equal(await this.countEffects(booking), 0);
      await sleep(REPEAT_DELAY_MS);
      await obtainTicket(this, booking, decodeTicket(ticket).unwrap().target);
    }
  },
);

Then(
  'the caller is told that booking {string} ran',
  async function (this: Scenario, booking: string) {
    const answer = await this.responses.get(booking);
    assert.equal(answer?.status, 200, answer?.body);
  },
);

Then(
  'the caller is told that the outcome of booking {string} is {word}',
  async function (this: Scenario, booking: string, outcome: string) {
    const answer = await this.responses.get(booking);
    assert.ok(answer);
    assert.equal(refusalOf(answer)?.outcome, outcome, answer.body);
  },
);

Then(
  'booking {string} took effect {int} time(s)',
  async function (this: Scenario, booking: string, times: number) {
    assert.equal(await this.countEffects(booking), times);
  },
);

Then(
  'what the caller was told of booking {string} is true',
  async function (this: Scenario, booking: string) {
    const answer = await this.responses.get(booking);
    assert.ok(answer);
    const effects = await this.countEffects(booking);
    assert.ok(effects <= 1, `${effects} effects`);
    if (answer.status === 200) assert.equal(effects, 1);
    else if (refusalOf(answer)?.outcome === 'not_run') assert.equal(effects, 0);
  },
);

Then(
  '{int} new confirmations through {string} are served with {int} refused',
  async function (
    this: Scenario,
    count: number,
    entry: string,
    expected: number,
  ) {
    const answers = await Promise.all(
      Array.from({length: count}, (_, i) =>
        confirmBooking(
          this.entryAccess(entry),
          '',
          `${entry}-${i}`,
          CONFIRMATION_DEADLINE_MS,
        ),
      ),
    );
    const refused = answers.filter(({status}) => status !== 200);
    this.log(`refused ${refused.length} of ${count}`);
    assert.equal(refused.length, expected, refused[0]?.body);
    for (let i = 0; i < count; i++) {
      assert.equal(await this.countEffects(`${entry}-${i}`), 1);
    }
  },
);

/** Confirmations sent while targets restarted. */
const confirmationsByScenario = new WeakMap<
  Scenario,
  readonly ConfirmationResult[]
>();

/** Confirms bookings one after another until `isOver` returns true. */
async function confirmUntil(
  scenario: Scenario,
  entry: string,
  isOver: () => boolean,
): Promise<readonly ConfirmationResult[]> {
  const results: ConfirmationResult[] = [];
  while (!isOver()) {
    const booking = `load-${entry}-${results.length}`;
    const access = scenario.entryAccess(entry);
    results.push(
      await confirmWithoutTicket(access, booking, CONFIRMATION_DEADLINE_MS),
    );
  }
  return results;
}

When(
  'the booking targets restart in turn while callers confirm through both entries',
  async function (this: Scenario) {
    let over = false;
    const callers = ['entry-1', 'entry-2'].map(entry =>
      confirmUntil(this, entry, () => over),
    );
    for (const node of this.deployment.targets) {
      if (node.service !== 'booking') continue;
      node.process().signal('SIGTERM');
      await node.process().exited;
      await node.restart();
      await new Promise(resolve => setTimeout(resolve, 1_500));
    }
    over = true;
    confirmationsByScenario.set(this, (await Promise.all(callers)).flat());
  },
);

Then(
  'no confirmation took effect twice and each caller was told the truth',
  async function (this: Scenario) {
    const effects = await countEffectsByBooking(this.deployment);
    const violations = (confirmationsByScenario.get(this) ?? []).flatMap(
      result =>
        findConfirmationViolations(
          result,
          effects.get(result.booking) ?? 0,
          CONFIRMATION_DEADLINE_MS,
        ),
    );
    assert.deepEqual(violations, []);
  },
);

Then(
  'at most {int} of 100 confirmations were refused',
  function (this: Scenario, bound: number) {
    const results = confirmationsByScenario.get(this) ?? [];
    const refused = results.filter(({status}) => status !== 200);
    this.log(`refused ${refused.length} of ${results.length}`);
    assert.ok(results.length >= 100, `only ${results.length} confirmations`);
    assert.ok(refused.length * 100 <= bound * results.length);
  },
);
