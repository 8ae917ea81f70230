import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  ANY_VERSION,
  mayServeStream,
  streamVersions,
  type StreamVersions,
} from '../src/index.js';

const SEED = Number(process.env.BALSAMNOTCH_SEED ?? 1);

/** Returns the versions of a stream that a target listed as `v1` began. */
function begunAt(
  listedVersion: string | undefined,
  takenUpVersion?: string,
): StreamVersions {
  const beginner = {softwareVersion: 'v1', listedVersion};
  return streamVersions({
    beginner,
    ...(takenUpVersion === undefined ? {} : {takenUpVersion}),
  });
}

// Load: each choice of a target for a stream, and each check of a silent target.
describe('software versions at which a stream may go on', () => {
  it('are any until it has begun', () => {
    assert.deepEqual(streamVersions({}), ANY_VERSION);
    assert.ok(mayServeStream(ANY_VERSION, 'v2'));
    assert.ok(mayServeStream(ANY_VERSION, ''));
  });

  it('are that of the target that began it', () => {
    for (const listed of ['v1', undefined]) {
      const versions = begunAt(listed);
      assert.ok(mayServeStream(versions, 'v1'));
      assert.ok(!mayServeStream(versions, 'v2'));
      assert.ok(!mayServeStream(versions, ''));
    }
  });

  // Failure: two targets without a stated version counted as different, so no stream went on.
  it('are those without a stated version if the target stated none', () => {
    const beginner = {softwareVersion: '', listedVersion: ''};
    const versions = streamVersions({beginner});
    assert.ok(mayServeStream(versions, ''));
    assert.ok(!mayServeStream(versions, 'v1'));
  });

  it('are that of an earlier answer when the stream is taken up', () => {
    const versions = streamVersions({takenUpVersion: 'v2'});
    assert.ok(mayServeStream(versions, 'v2'));
    assert.ok(!mayServeStream(versions, 'v1'));
  });

  // Failure: a record that was late or replaced gave the stream to a server of another version.
  it('are none if the target is listed with another version since, or began it against an earlier answer', () => {
    for (const versions of [begunAt('v2'), begunAt(''), begunAt('v1', 'v2')]) {
      for (const version of ['v1', 'v2', '']) {
        assert.ok(!mayServeStream(versions, version));
      }
    }
  });

  // Failure: some order of list changes and attempts let events of two versions into one stream.
  it('never let two versions write, in random changes of the list', () => {
    const version = fc.constantFrom('v1', 'v2', '');
    const step = fc.record({target: fc.nat(2), listed: version});
    fc.assert(
      fc.property(
        fc.array(version, {minLength: 3, maxLength: 3}),
        fc.array(step, {maxLength: 12}),
        fc.option(version, {nil: undefined}),
        (initial, steps, takenUpVersion) => {
          const listed = [...initial];
          let beginner: {target: number; softwareVersion: string} | undefined;
          const written = new Set(
            takenUpVersion === undefined ? [] : [takenUpVersion],
          );
          for (const {target, listed: nextVersion} of steps) {
            const versions = streamVersions({
              ...(takenUpVersion === undefined ? {} : {takenUpVersion}),
              ...(beginner && {
                beginner: {
                  softwareVersion: beginner.softwareVersion,
                  listedVersion: listed[beginner.target],
                },
              }),
            });
            const softwareVersion = listed[target] ?? '';
            if (mayServeStream(versions, softwareVersion)) {
              written.add(softwareVersion);
              beginner ??= {target, softwareVersion};
            }
            listed[target] = nextVersion;
          }
          assert.ok(written.size <= 1);
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
  });
});
