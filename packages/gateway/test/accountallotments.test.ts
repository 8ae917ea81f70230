import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {accountId, type ClientAccount} from '@balsamnotch/core';
import type {LogFields} from '@balsamnotch/daemon';
import {AccountAllotments} from '../src/entry/accounts/accountallotments.js';
import type {AdmittedRequest} from '../src/entry/admittedrequest.js';
import {
  createGatewayMetrics,
  type GatewayMetrics,
} from '../src/node/metrics.js';
import {Pair, STEP_MS} from './nodepair.js';
import {QUIET_LOG} from './support.js';

const RATE = 10_000;
const KEY = 'secret-key';
const LIMITED: ClientAccount = {
  name: 'large',
  keys: [KEY],
  allotment: {unit: 'tokens', perSecond: RATE, burst: RATE, defaultTokens: 200},
};

/** Returns a request of 100 tokens. */
function requestOf(
  account?: ClientAccount,
): Pick<AdmittedRequest, 'account' | 'caller'> {
  const caller = {
    requestId: 'r',
    accountKey: KEY,
    promptTokens: 80,
    outputTokens: 20,
  } as AdmittedRequest['caller'];
  return {account, caller};
}

describe('an account at an entry and a target node', () => {
  let pair: Pair;
  let accounts: AccountAllotments;
  let metrics: GatewayMetrics;
  let lines: Array<LogFields & {readonly event: string}>;

  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout']});
    lines = [];
    metrics = createGatewayMetrics();
    pair = new Pair();
    let draw = 0;
    accounts = new AccountAllotments({
      context: {
        clock: {monotonicMs: () => pair.nowMs, wallMs: () => 0},
        random: () => (draw = (draw + 0.37) % 1),
        log: {
          ...QUIET_LOG,
          info: (event, fields = {}) => {
            lines.push({...fields, event});
          },
        },
        metrics,
      },
      entries: () => 1,
      links: () => new Map([['node', pair.link]]),
    });
    pair.onTotals = totals => accounts.recordTotals('node', totals);
  });
  afterEach(() => {
    accounts.close();
    pair.close();
    mock.timers.reset();
  });

  /** Asks for `perSecond` tokens each second; returns those that were admitted. */
  const play = async (perSecond: number, durationMs: number) => {
    let [admitted, owed] = [0, 0];
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      owed += (perSecond * STEP_MS) / 1_000;
      for (; owed >= 100; owed -= 100) {
        if (accounts.admit(requestOf(LIMITED)).refusal === undefined) {
          admitted += 100;
        }
      }
      await pair.advance(STEP_MS);
    }
    return admitted;
  };

  // Failure: requests below the limit got 429.
  it('gets all that it asks for below its rate', async () => {
    assert.equal(await play(0.8 * RATE, 4_000), 0.8 * RATE * 4);
    assert.deepEqual(lines, []);
  });

  // Failure: the totals of target nodes did not reach the decision.
  it('gets its rate while it asks for five times as much', async () => {
    await play(5 * RATE, 3_000);
    const admitted = await play(5 * RATE, 4_000);
    assert.ok(admitted > 3.2 * RATE && admitted < 4.8 * RATE, `${admitted}`);
  });

  // Failure: an operator could not tell why an account got 429; a key was in a log line.
  it('has its refusals logged with what they were decided by, without keys', async () => {
    await play(5 * RATE, 3_000);
    const line = lines.find(({level}) => level !== undefined);
    assert.equal(line?.event, 'allotment_refused');
    assert.equal(line.account, 'large');
    for (const field of ['asked_per_s', 'level', 'share', 'total_age_ms']) {
      assert.equal(typeof line[field], 'number', field);
    }
    assert.ok(!JSON.stringify(lines).includes(KEY));
    const text = await metrics.text();
    assert.match(text, /event="allotment_refused",reason="large"/);
    assert.match(text, /event="allotment_allowed",reason="large"/);
    assert.ok(!text.includes(KEY));
    const status = accounts.status();
    const asked = status['allotment_asked_large'] ?? 0;
    assert.ok(asked > (status['allotment_used_large'] ?? Infinity));
  });

  // Failure: a refused caller was told no time, or a status that does not say that nothing ran.
  it('is refused with 429 and a time after which to come back', async () => {
    await play(5 * RATE, 3_000);
    const refusals = Array.from(
      {length: 20},
      () => accounts.admit(requestOf(LIMITED)).refusal,
    ).filter(refusal => refusal !== undefined);
    assert.ok(refusals.length > 0);
    for (const {status, reason, retryAfterMs = 0} of refusals) {
      assert.equal(status, 429);
      assert.equal(reason, 'allotment');
      assert.ok(retryAfterMs >= 3_000, `${retryAfterMs}`);
    }
  });

  // Failure: an account whose requests were refused for want of targets lost its allotment.
  it('gets back what was not sent', async () => {
    for (let n = 0; n < 60; n += 1) {
      accounts.admit(requestOf(LIMITED)).giveBack();
      await pair.advance(STEP_MS);
    }
    assert.equal(accounts.status()['allotment_used_large'], 0);
  });

  // Failure: an entry that no node answered admitted without a limit.
  it('gets its share of the allotment while no target node answers', async () => {
    pair.isCut = true;
    await play(5 * RATE, 3_000);
    const admitted = await play(5 * RATE, 4_000);
    assert.ok(admitted > 3.5 * RATE && admitted < 4.5 * RATE, `${admitted}`);
  });

  // Failure: one statement of a rate that is no number spoiled the totals of an account for good.
  it('is not affected by a use that is no number', async () => {
    await play(0.8 * RATE, 1_000);
    const account = accountId(LIMITED.name);
    const use = {account, asked: 1, admitted: 1, perSecond: NaN, burst: 1};
    pair.link.stateUses([use], 200);
    await pair.advance(200);
    assert.ok(pair.lines.some(({event}) => event === 'account_use_invalid'));
    assert.equal(await play(0.8 * RATE, 2_000), 0.8 * RATE * 2);
  });

  // Failure: statements were sent for each request.
  it('is stated to a node five times a second at most', async () => {
    const sentBefore = pair.sent;
    await play(5 * RATE, 4_000);
    const messages = pair.sent - sentBefore;
    assert.ok(messages <= 2 * 5 * 4 + 2, `${messages} messages`);
  });

  // Failure: callers without an account or a limit were counted and stated.
  it('needs an allotment to be limited', async () => {
    const sentBefore = pair.sent;
    for (let n = 0; n < 500; n += 1) {
      assert.equal(accounts.admit(requestOf()).refusal, undefined);
      const unlimited = {...LIMITED, allotment: undefined};
      assert.equal(accounts.admit(requestOf(unlimited)).refusal, undefined);
      await pair.advance(STEP_MS);
    }
    assert.equal(pair.sent, sentBefore);
    assert.deepEqual(accounts.status(), {});
  });
});
