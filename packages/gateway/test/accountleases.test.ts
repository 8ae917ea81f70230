import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Leases, type LeaseRequest} from '../src/agent/leases.js';
import {LEASE_REFUSAL} from '../src/node/leaserefusal.js';
import {requestLease, type RequestedLease} from './leaserequests.js';

describe('leases of client accounts', () => {
  const holdsAll = () => true;

  describe('under three times the usual load', () => {
    const held = new Set(['a']);
    /** Requests `count` leases of an account, one each millisecond. */
    const requestMany = (
      leases: Leases,
      account: string,
      count: number,
      overrides: Partial<LeaseRequest> = {},
    ) =>
      Array.from({length: count}, (_, n) =>
        requestLease(leases, 'a', held, {
          account,
          requestedAtMs: n,
          ...overrides,
        }),
      );
    const isAnswered = ({answers}: RequestedLease) => answers.length > 0;
    const isGranted = ({answers}: RequestedLease) => answers[0] === '';

    // Failure: an account that asks for much fills the queue, and others are refused.
    it('find room for others when one account has filled the queue', () => {
      const leases = new Leases({maxGranted: () => 0, maxWaitingRequests: 16});
      const large = requestMany(leases, 'large', 48);
      assert.equal(large.filter(isAnswered).length, 32);
      const small = requestMany(leases, 'small', 1);
      const low = requestMany(leases, 'low', 1, {rank: 3});
      assert.deepEqual([...small, ...low].filter(isAnswered), []);
    });

    // Failure: as above, while others wait already.
    it('leave half of the queue to others, if any wait', () => {
      const leases = new Leases({maxGranted: () => 0, maxWaitingRequests: 16});
      requestMany(leases, 'small', 1);
      const large = requestMany(leases, 'large', 48);
      assert.deepEqual(
        large.filter(isAnswered).map(({answers}) => answers),
        Array.from({length: 40}, () => [LEASE_REFUSAL.accountFull]),
      );
      const others = requestMany(leases, 'small', 7);
      assert.deepEqual(others.filter(isAnswered), []);
    });

    // Failure: requests of an account with a lower rank waited until their deadline (Starved).
    it('are granted to an account of a lower rank in every second turn', () => {
      let granted = 0;
      const leases = new Leases({maxGranted: () => granted});
      const low = requestMany(leases, 'low', 4, {rank: 4});
      const high = requestMany(leases, 'high', 8, {requestedAtMs: 10});
      for (granted = 1; granted <= 8; granted++) {
        leases.grantAndExpire(holdsAll, 20);
      }
      assert.equal(low.filter(isGranted).length, 4);
      assert.equal(high.filter(isGranted).length, 4);
    });

    // Failure: the adapters of one account fill the load queue, and those of others are refused.
    it('leave half of the load queue to the adapters of others, if any wait', () => {
      const leases = new Leases({maxWaitingAdapters: 8});
      const request = (account: string, adapter: string) =>
        requestLease(leases, adapter, held, {account});
      request('small', 's0');
      const large = Array.from({length: 20}, (_, n) =>
        request('large', `l${n}`),
      );
      assert.equal(large.filter(isAnswered).length, 16);
      const small = [1, 2, 3].map(n => request('small', `s${n}`));
      assert.deepEqual(small.filter(isAnswered), []);
      assert.deepEqual(request('other', 'o').answers, []);
    });

    // Failure: a deployment without accounts is served in another order than before.
    it('keep the order by rank and time while no request has an account', () => {
      const leases = new Leases({maxGranted: () => 3});
      const low = requestMany(leases, '', 4, {rank: 1});
      const high = requestMany(leases, '', 4);
      leases.grantAndExpire(holdsAll, 20);
      assert.deepEqual(low.filter(isGranted), []);
      assert.equal(high.filter(isGranted).length, 3);
    });
  });
});
