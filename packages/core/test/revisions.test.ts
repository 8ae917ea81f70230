import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  ADOPTION,
  adoption,
  exchangePeers,
  isWatcher,
  startupPeers,
  type Peer,
  type RevisionIdentity,
} from '@balsamnotch/core';

const SEED = Number(process.env.BALSAMNOTCH_SEED ?? 1);
const NODES = 6;

const fleet: Peer[] = Array.from({length: NODES}, (_, i) => ({
  name: `vm-${i}`,
  failureDomain: `domain-${i % 3}`,
}));

const nodeIndex = fc.nat(NODES - 1);
const step = fc.oneof(
  fc.record({kind: fc.constant('publish' as const), concurrent: fc.boolean()}),
  fc.record({
    kind: fc.constant('read' as const),
    node: nodeIndex,
    staleBy: fc.nat(3),
  }),
  fc.record({
    kind: fc.constant('exchange' as const),
    node: nodeIndex,
    peer: nodeIndex,
  }),
  fc.record({kind: fc.constant('restart' as const), node: nodeIndex}),
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Fleet whose nodes hold an identity each, beside a service that may serve old copies. */
class Model {
  readonly published: RevisionIdentity[] = [
    {revision: 1, hash: 'h1', version: 1},
  ];
  readonly inForce: Array<RevisionIdentity | undefined> = fleet.map(
    () => undefined,
  );

  apply(taken: Step): void {
    switch (taken.kind) {
      case 'publish':
        return this.publish(taken.concurrent);
      case 'read':
        return this.offer(taken.node, this.copy(taken.staleBy));
      case 'exchange':
        return this.offer(taken.node, this.inForce[taken.peer]);
      case 'restart':
        return this.restart(taken.node);
    }
  }

  /** A concurrent operator publishes other content under the newest number. */
  private publish(concurrent: boolean): void {
    const last = this.published.at(-1)!;
    const version = last.version + 1;
    const revision = concurrent ? last.revision : last.revision + 1;
    this.published.push({revision, hash: `h${version}`, version});
  }

  private copy(staleBy: number): RevisionIdentity {
    return this.published.at(-1 - staleBy) ?? this.published[0];
  }

  private restart(node: number): void {
    this.inForce[node] = undefined;
    this.offer(node, this.published[0]);
    const asked = startupPeers(fleet[node].name, fleet);
    for (const peer of asked) {
      this.offer(node, this.inForce[fleet.indexOf(peer)]);
    }
    for (const peer of asked) {
      const seen = this.inForce[fleet.indexOf(peer)];
      assert.ok(
        seen === undefined || seen.revision <= this.inForce[node]!.revision,
        'a fresh node serves an older revision than a peer it asked',
      );
    }
  }

  private offer(node: number, offered: RevisionIdentity | undefined): void {
    if (offered === undefined) return;
    const before = this.inForce[node];
    if (adoption(before, offered) !== ADOPTION.adopt) return;
    this.inForce[node] = offered;
    if (before === undefined) return;
    assert.ok(offered.revision >= before.revision, 'a revision reverted');
    if (offered.revision === before.revision) {
      assert.ok(
        offered.version < before.version,
        'a later operator replaced an accepted revision under its number',
      );
    }
  }

  /**
   * Rounds of exchange with the peers that nodes choose, while the service serves only old
   * copies.
   */
  converge(rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      fleet.forEach((self, node) => {
        const peers = exchangePeers(self.name, fleet);
        const peer = peers[round % peers.length];
        this.offer(node, this.inForce[fleet.indexOf(peer)]);
        this.offer(node, this.published[0]);
      });
    }
  }
}

describe('revisions', () => {
  describe('random schedules of publications, stale reads, exchanges and restarts', () => {
    it('never revert at a node, and agree through exchanges alone', () => {
      fc.assert(
        fc.property(fc.array(step, {maxLength: 60}), steps => {
          const model = new Model();
          for (const taken of steps) model.apply(taken);
          model.converge(2 * NODES);
          const newest = Math.max(
            ...model.inForce.map(identity => identity?.revision ?? 0),
          );
          const hashes = new Set(
            model.inForce.map(identity => identity?.hash ?? ''),
          );
          assert.ok(model.inForce.every(held => held?.revision === newest));
          assert.equal(hashes.size, 1, 'nodes disagree on one revision');
        }),
        {seed: SEED, numRuns: 500},
      );
    });
  });

  describe('watchers', () => {
    it('are the same four nodes of a failure domain for every observer', () => {
      const domain = Array.from({length: 30}, (_, i) => ({
        name: `vm-${i}`,
        failureDomain: 'one',
      }));
      const watching = domain.filter(self => isWatcher(self, domain));
      assert.equal(watching.length, 4);
    });

    it('include a node that the VM list does not show yet', () => {
      assert.ok(isWatcher(fleet[0], []));
    });
  });
});
