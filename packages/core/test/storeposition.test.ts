import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  comparePositions,
  HISTORY,
  historyOf,
  isLaterPosition,
  laterPosition,
  mayLackChanges,
  versionsDigest,
  type StorePosition,
} from '@balsamnotch/core';

const positions = fc.record({era: fc.nat(4), revision: fc.nat(8)});
const at = (era: number, revision: number): StorePosition => ({era, revision});

describe('positions in the history of a store', () => {
  it('have a total order', () => {
    fc.assert(
      fc.property(positions, positions, positions, (a, b, c) => {
        const order = Math.sign(comparePositions(a, b));
        assert.equal(order + Math.sign(comparePositions(b, a)), 0);
        const isSame = a.era === b.era && a.revision === b.revision;
        assert.equal(order === 0, isSame);
        if (order <= 0 && comparePositions(b, c) <= 0) {
          assert.ok(comparePositions(a, c) <= 0);
        }
        assert.deepEqual(laterPosition(a, b), order >= 0 ? a : b);
      }),
    );
  });

  // A node that had seen the new history lost against one that had not.
  it('of a later era are later whatever their revisions are', () => {
    fc.assert(
      fc.property(positions, fc.nat(8), fc.nat(8), (a, eras, revision) => {
        assert.ok(isLaterPosition(at(a.era + 1 + eras, revision), a));
      }),
    );
  });

  it('tell an answer that continues the history from one that does not', () => {
    assert.equal(historyOf(at(1, 5), at(1, 5)), HISTORY.continued);
    assert.equal(historyOf(at(1, 5), at(1, 9)), HISTORY.continued);
    assert.equal(historyOf(at(1, 5), at(1, 4)), HISTORY.lowerRevision);
    assert.equal(historyOf(at(1, 5), at(2, 9)), HISTORY.otherEra);
    assert.equal(historyOf(at(2, 5), at(1, 9)), HISTORY.otherEra);
  });

  describe('of two nodes', () => {
    it('let the earlier node ask the later one', () => {
      fc.assert(
        fc.property(positions, positions, fc.nat(), (a, b, digest) => {
          if (comparePositions(a, b) === 0) return;
          const [one, other] = [
            {position: a, digest, routesVersion: 0},
            {position: b, digest: digest + 1, routesVersion: 0},
          ];
          assert.notEqual(
            mayLackChanges(one, other),
            mayLackChanges(other, one),
          );
          assert.equal(mayLackChanges(one, other), isLaterPosition(b, a));
        }),
      );
    });

    // What the store lost reached no node that had not seen it.
    it('at the same position ask each other if their versions differ', () => {
      const knownWith = (version: number) => ({
        position: at(2, 5),
        digest: versionsDigest(version, new Map()),
        routesVersion: 0,
      });
      const own = knownWith(8);
      const kept = knownWith(9);
      assert.ok(mayLackChanges(own, kept) && mayLackChanges(kept, own));
      assert.ok(!mayLackChanges(own, own));
      assert.ok(!mayLackChanges(own, {...kept, digest: 0}));
    });

    // A node whose position was ahead of what it had asked nobody.
    it('let the one with older routes ask the other, whatever the positions are', () => {
      fc.assert(
        fc.property(positions, positions, fc.nat(), (a, b, version) => {
          const older = {position: a, digest: 1, routesVersion: version};
          const newer = {position: b, digest: 2, routesVersion: version + 1};
          assert.ok(mayLackChanges(older, newer));
        }),
      );
    });
  });

  it('have a digest that depends on each version and not on the order of adapters', () => {
    const versions: Array<[string, number]> = [
      ['m/a', 1],
      ['m/b', 2],
    ];
    const digest = versionsDigest(3, new Map(versions));
    assert.equal(versionsDigest(3, new Map(versions.reverse())), digest);
    assert.notEqual(versionsDigest(4, new Map(versions)), digest);
    assert.notEqual(versionsDigest(3, new Map([['m/a', 1]])), digest);
    assert.equal(versionsDigest(undefined, new Map()), 0);
  });
});
