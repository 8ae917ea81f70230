import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {streamKey} from '../src/entry/streamkey.js';

const SEED = Number(process.env.BALSAMNOTCH_SEED ?? 1);

describe('keys of streams', () => {
  // Failure: entries of two releases named one stream differently, so none was found in an upgrade.
  it('stay the same from release to release', () => {
    const account = ['a.example', 'Bearer one', ''];
    assert.equal(streamKey('models', account, 'q1'), 'bvsNCGB4NyLbXA-e');
  });

  // Failure: a caller took up the stream of another client account, or of another service.
  it('differ where the service, the client account or the request id differs', () => {
    const name = fc.constantFrom('', 'a', 'b', 'a,b', '"', '","', ']', 'é');
    const names = fc.array(name, {maxLength: 3});
    const stream = fc.tuple(name, names, name);
    fc.assert(
      fc.property(stream, stream, (one, other) => {
        const key = streamKey(...one);
        assert.match(key, /^[\w-]{16}$/);
        assert.equal(
          key === streamKey(...other),
          JSON.stringify(one) === JSON.stringify(other),
        );
      }),
      {seed: SEED, numRuns: 2_000},
    );
  });
});
