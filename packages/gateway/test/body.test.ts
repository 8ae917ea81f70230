import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createBodyBlocks} from '../src/entry/body.js';

/** Seed of the property test. */
const SEED = 47;

describe('a request body in blocks', () => {
  // Guards against lost, doubled or reordered bytes at the edges of blocks.
  it('is the sequence of its pieces, whatever their sizes', () => {
    const sizes = fc.array(
      fc.oneof(
        fc.integer({min: 0, max: 3}),
        fc.integer({min: 0, max: 40_000}),
        fc.constantFrom(1_023, 1_024, 1_025, 16_383, 16_384, 16_385),
      ),
      {maxLength: 12},
    );
    fc.assert(
      fc.property(sizes, lengths => {
        const blocks = createBodyBlocks();
        const pieces = lengths.map((length, n) =>
          Buffer.from(Uint8Array.from({length}, (_, at) => n * 31 + at)),
        );
        for (const piece of pieces) blocks.add(piece);
        assert.deepEqual(blocks.concat(), Buffer.concat(pieces));
      }),
      {seed: SEED},
    );
  });

  // Load: a body in chunks of one byte, each a view of the 64 KiB that were read with it.
  it('holds no view of the input that small pieces were read with', () => {
    const input = Buffer.allocUnsafeSlow(65_536);
    const blocks = createBodyBlocks();
    for (let at = 0; at < 10; at++) blocks.add(input.subarray(at, at + 1));
    assert.notEqual(blocks.concat().buffer, input.buffer);
  });
});
