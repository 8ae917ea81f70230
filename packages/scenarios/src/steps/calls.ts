/** Steps of callers that confirm bookings. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {decodeTicket} from '@balsamnotch/core';
import {post} from '@balsamnotch/demo';
import {
  confirm,
  confirmOnce,
  refusalOf,
  type ToldConfirmation,
} from '../caller.js';
import {effectsByBooking} from '../deployment.js';
import {confirmationViolations} from '../soak/promises.js';
import type {Scenario} from '../world.js';

const DEADLINE_MS = 6_000;

async function ticketFor(
  scenario: Scenario,
  booking: string,
  target: string,
): Promise<void> {
  // Entries spread tickets over the targets.
  for (let i = 0; i < 200; i++) {
    const path = '/v1/services/booking/tickets';
    const answer = await post(scenario.access('entry-1'), path, {});
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
    await ticketFor(this, booking, target);
  },
);

When(
  'the caller confirms booking {string} through {string}',
  function (this: Scenario, booking: string, entry: string) {
    const ticket = this.tickets.get(booking) ?? '';
    const answer = confirm(this.access(entry), ticket, booking, DEADLINE_MS);
    // The entry may be killed before it answers.
    answer.catch(() => undefined);
    this.answers.set(booking, answer);
  },
);

Then(
  'the caller is told that booking {string} ran',
  async function (this: Scenario, booking: string) {
    const answer = await this.answers.get(booking);
    assert.equal(answer?.status, 200, answer?.body);
  },
);

Then(
  'the caller is told that the outcome of booking {string} is {word}',
  async function (this: Scenario, booking: string, outcome: string) {
    const answer = await this.answers.get(booking);
    assert.ok(answer);
    assert.equal(refusalOf(answer)?.outcome, outcome, answer.body);
  },
);

Then(
  'booking {string} took effect {int} time(s)',
  async function (this: Scenario, booking: string, times: number) {
    assert.equal(await this.effects(booking), times);
  },
);

Then(
  'what the caller was told of booking {string} is true',
  async function (this: Scenario, booking: string) {
    const answer = await this.answers.get(booking);
    assert.ok(answer);
    const effects = await this.effects(booking);
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
        confirm(this.access(entry), '', `${entry}-${i}`, DEADLINE_MS),
      ),
    );
    const refused = answers.filter(({status}) => status !== 200);
    this.log(`refused ${refused.length} of ${count}`);
    assert.equal(refused.length, expected, refused[0]?.body);
    for (let i = 0; i < count; i++) {
      assert.equal(await this.effects(`${entry}-${i}`), 1);
    }
  },
);

const loads = new WeakMap<Scenario, readonly ToldConfirmation[]>();

async function confirmUntil(
  scenario: Scenario,
  entry: string,
  isOver: () => boolean,
): Promise<readonly ToldConfirmation[]> {
  const told: ToldConfirmation[] = [];
  while (!isOver()) {
    const booking = `load-${entry}-${told.length}`;
    const access = scenario.access(entry);
    told.push(await confirmOnce(access, booking, DEADLINE_MS));
  }
  return told;
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
    loads.set(this, (await Promise.all(callers)).flat());
  },
);

Then(
  'no confirmation took effect twice and each caller was told the truth',
  async function (this: Scenario) {
    const effects = await effectsByBooking(this.deployment);
    const violations = (loads.get(this) ?? []).flatMap(told =>
      confirmationViolations(told, effects.get(told.booking) ?? 0, DEADLINE_MS),
    );
    assert.deepEqual(violations, []);
  },
);

Then(
  'at most {int} of 100 confirmations were refused',
  function (this: Scenario, bound: number) {
    const told = loads.get(this) ?? [];
    const refused = told.filter(({status}) => status !== 200);
    this.log(`refused ${refused.length} of ${told.length}`);
    assert.ok(told.length >= 100, `only ${told.length} confirmations`);
    assert.ok(refused.length * 100 <= bound * told.length);
  },
);
