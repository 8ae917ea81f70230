import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  asDeparted,
  asKnownSince,
  DEPARTURE_MEMORY_MS,
  HELD_BACK_MS,
  heldBackCount,
  MAX_DEPARTURES,
  releasedTargets,
  withDepartures,
  withoutDeparted,
  withoutForgotten,
  withoutHeld,
  withoutTarget,
  withTarget,
  type Departures,
  type RegisteredTarget,
  type Registry,
} from '@balsamnotch/core';

const target = (
  id: string,
  fields: Partial<RegisteredTarget> = {},
): RegisteredTarget => ({
  id,
  service: 's',
  address: `127.0.0.1:${id}`,
  failureDomain: 'd',
  softwareVersion: 'v1',
  slots: 1,
  leaving: false,
  incarnationMs: 7,
  models: [],
  ...fields,
});

const REMOVED_AT_MS = 1_000;
const RESTORED_AT_MS = 4_000;

/** Returns the memory of a node that saw the removal of the target. */
function memoryOf(removed: RegisteredTarget): Departures {
  const before = withTarget(new Map(), removed);
  const after = withoutTarget(before, removed.id, REMOVED_AT_MS, 0);
  return withDepartures(new Map(), before, after, REMOVED_AT_MS);
}

const listedAt = (
  listed: RegisteredTarget,
  departures: Departures,
  nowMs = RESTORED_AT_MS,
  restoredAtMs = RESTORED_AT_MS,
) => withoutDeparted([listed], departures, nowMs, restoredAtMs);

describe('targets that a restored list has', () => {
  describe('after they were removed', () => {
    // Requests reached targets whose removal the node had already seen.
    it('are held back until they are released', () => {
      const {targets, departures} = listedAt(
        target('1'),
        memoryOf(target('1')),
      );
      assert.deepEqual(targets, []);
      assert.equal(heldBackCount(departures), 1);
      const releasedAtMs = RESTORED_AT_MS + HELD_BACK_MS;
      const releasedAt = (nowMs: number) =>
        releasedTargets(departures, nowMs, RESTORED_AT_MS);
      assert.deepEqual(releasedAt(releasedAtMs - 1).targets, []);
      const released = releasedAt(releasedAtMs);
      assert.deepEqual(released.targets, [target('1')]);
      assert.equal(heldBackCount(released.departures), 0);
    });

    it('are held back again by a second return of the store', () => {
      const first = listedAt(target('1'), memoryOf(target('1')));
      const nowMs = RESTORED_AT_MS + 500;
      const second = listedAt(target('1'), first.departures, nowMs, nowMs);
      assert.deepEqual(second.targets, []);
      assert.equal(heldBackCount(second.departures), 1);
    });

    it('are not released once their entry is removed again', () => {
      const {departures} = listedAt(target('1'), memoryOf(target('1')));
      assert.equal(heldBackCount(withoutHeld(departures, '1')), 0);
    });

    it('are listed if they started again since', () => {
      const later = target('1', {incarnationMs: 8});
      const {targets} = listedAt(later, memoryOf(target('1')));
      assert.deepEqual(targets, [later]);
    });

    it('are listed if they were removed after the return of the store', () => {
      const {targets} = listedAt(
        target('1'),
        memoryOf(target('1')),
        REMOVED_AT_MS + 100,
        REMOVED_AT_MS - 100,
      );
      assert.deepEqual(targets, [target('1')]);
    });

    it('are listed without a return of the store', () => {
      const memory = memoryOf(target('1'));
      const {targets} = listedAt(target('1'), memory, 2_000, -Infinity);
      assert.deepEqual(targets, [target('1')]);
    });

    it('stay leaving if they were, when their entry is written again', () => {
      const memory = memoryOf(target('1', {leaving: true}));
      assert.equal(asDeparted(target('1'), memory).leaving, true);
      const restarted = target('1', {incarnationMs: 8});
      assert.equal(asDeparted(restarted, memory).leaving, false);
    });
  });

  describe('while they are known', () => {
    const registryOf = (known: RegisteredTarget) =>
      withTarget(new Map(), known);

    // A target that was about to end got requests again.
    it('stay leaving if they were, for one incarnation', () => {
      const registry = registryOf(target('1', {leaving: true}));
      const isLeaving = (written: RegisteredTarget) =>
        withTarget(registry, written).get('1')?.target.leaving;
      assert.equal(isLeaving(target('1')), true);
      assert.equal(isLeaving(target('1', {incarnationMs: 8})), false);
      assert.equal(asKnownSince(target('1'), registry).leaving, true);
    });

    it('stay leaving in the list, but not in later writes, if they do not state their start', () => {
      const unstated = target('1', {incarnationMs: 0});
      const registry = registryOf({...unstated, leaving: true});
      assert.equal(asKnownSince(unstated, registry).leaving, true);
      assert.equal(
        withTarget(registry, unstated).get('1')?.target.leaving,
        false,
      );
    });

    it('keep their later incarnation', () => {
      const later = target('1', {incarnationMs: 8, slots: 2});
      assert.deepEqual(asKnownSince(target('1'), registryOf(later)), later);
    });
  });

  describe('in memory', () => {
    it('are forgotten after a time, and beyond a number', () => {
      const memory = memoryOf(target('1'));
      const forgottenAtMs = REMOVED_AT_MS + DEPARTURE_MEMORY_MS;
      assert.equal(withoutForgotten(memory, forgottenAtMs - 1), memory);
      assert.equal(withoutForgotten(memory, forgottenAtMs).size, 0);
      const many: Registry = new Map(
        Array.from({length: MAX_DEPARTURES + 9}, (_, n) => [
          String(n),
          {target: target(String(n)), missingUntilMs: 0},
        ]),
      );
      const departures = withDepartures(memory, many, new Map(), 2_000);
      assert.equal(departures.size, MAX_DEPARTURES);
      assert.equal(departures.has('1'), false);
      assert.equal(departures.has(String(MAX_DEPARTURES + 8)), true);
    });
  });
});
