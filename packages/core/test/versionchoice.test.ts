import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {atPreferredVersions} from '../src/index.js';

const VERSION = fc.constantFrom<string>('', 'v1', 'v2', 'v3');
const VERSIONS = fc.array(VERSION, {maxLength: 12});

const versionOf = (version: string) => version;

describe('the versions at which a stream begins', () => {
  // Failure: a stream began at a version that other entries did not know yet.
  it('are settled ones while there are any, else all', () => {
    fc.assert(
      fc.property(VERSIONS, VERSIONS, (listed, settled) => {
        const chosen = atPreferredVersions(listed, versionOf, {
          sentTo: undefined,
          isSettled: version => settled.includes(version),
        });
        const preferred = listed.filter(version => settled.includes(version));
        assert.deepEqual(chosen, preferred.length > 0 ? preferred : listed);
      }),
    );
  });

  // Failure: nodes beside servers of two versions remembered that the stream was sent there, and the
  // entry that knew which one began it died.
  it('are the one it was sent to before, while it is there', () => {
    fc.assert(
      fc.property(VERSIONS, VERSIONS, VERSION, (listed, settled, sentTo) => {
        fc.pre(listed.includes(sentTo));
        const chosen = atPreferredVersions(listed, versionOf, {
          sentTo,
          isSettled: version => settled.includes(version),
        });
        assert.deepEqual(
          chosen,
          listed.filter(version => version === sentTo),
        );
      }),
    );
  });
});
