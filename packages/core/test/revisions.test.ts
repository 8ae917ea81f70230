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

/** Fleet of nodes with one revision each, and a configuration service that may serve old copies. */
class Model {
  readonly published: RevisionIdentity[] = [
    {revision: 1, hash: 'h1', version: 1},
  ];
  readonly inForce: Array<RevisionIdentity | undefined> = fleet.map(
    () => undefined,
  );

  apply(action: Step): void {
    switch (action.kind) {
      case 'publish':
        return this.publish(action.concurrent);
      case 'read':
        return this.offer(action.node, this.copyFromService(action.staleBy));
      case 'exchange':
        return this.offer(action.node, this.inForce[action.peer]);
      case 'restart':
        return this.restart(action.node);
    }
  }

  /**
   * Publishes a new revision. A concurrent operator publishes different content under the
   * newest number.
   */
  private publish(concurrent: boolean): void {
    const last = this.published.at(-1)!;
    const version = last.version + 1;
    const revision = concurrent ? last.revision : last.revision + 1;
    this.published.push({revision, hash: `h${version}`, version});
  }

  private copyFromService(staleBy: number): RevisionIdentity {
    return this.published.at(-1 - staleBy) ?? this.published[0];
  }

  private restart(node: number): void {
    this.inForce[node] = undefined;
    this.offer(node, this.published[0]);
    const askedPeers = startupPeers(fleet[node].name, fleet);
    for (const peer of askedPeers) {
      this.offer(node, this.inForce[fleet.indexOf(peer)]);
    }
    for (const peer of askedPeers) {
      const peerRevision = this.inForce[fleet.indexOf(peer)];
      assert.ok(
        peerRevision === undefined ||
          peerRevision.revision <= this.inForce[node]!.revision,
        'a started node serves an older revision than a peer that it asked',
      );
    }
  }

  private offer(node: number, offered: RevisionIdentity | undefined): void {
    if (offered === undefined) return;
    const previous = this.inForce[node];
    if (adoption(previous, offered) !== ADOPTION.adopt) return;
    this.inForce[node] = offered;
    if (previous === undefined) return;
    assert.ok(
      offered.revision >= previous.revision,
      'the node went back to an older revision',
    );
    if (offered.revision === previous.revision) {
      assert.ok(
        offered.version < previous.version,
        'a later publication replaced an adopted revision of the same number',
      );
    }
  }

  /**
   * Runs rounds of exchanges between nodes and the peers they choose, while the service serves
   * only its oldest copy.
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
    it('never take a node back to an older revision, and all nodes agree through exchanges alone', () => {
      fc.assert(
        fc.property(fc.array(step, {maxLength: 60}), steps => {
          const model = new Model();
          for (const action of steps) model.apply(action);
          model.converge(2 * NODES);
          const newest = Math.max(
            ...model.inForce.map(identity => identity?.revision ?? 0),
          );
          const hashes = new Set(
            model.inForce.map(identity => identity?.hash ?? ''),
          );
          assert.ok(
            model.inForce.every(identity => identity?.revision === newest),
          );
          assert.equal(
            hashes.size,
            1,
            'nodes have different contents of the newest revision',
          );
        }),
        {seed: SEED, numRuns: 500},
      );
    });
  });

  describe('watchers', () => {
    it('are four nodes of a failure domain, the same for every observer', () => {
      const domain = Array.from({length: 30}, (_, i) => ({
        name: `vm-${i}`,
        failureDomain: 'one',
      }));
      const watchers = domain.filter(self => isWatcher(self, domain));
      assert.equal(watchers.length, 4);
    });

    it('include a node that is not in the VM list yet', () => {
      assert.ok(isWatcher(fleet[0], []));
    });
  });
});
