import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  FIRST_SLICE_BYTES,
  nextSliceBytes,
  WAIT_REASON,
  waitReason,
  type ParsedInput,
} from '../src/index.js';

/** A read of a connection, in bytes. */
const READ_BYTES = 65_536;

/** Returns how many slices a read takes, and the parts that the largest slice brings, if each part has `partBytes`. */
function sliceRead(partBytes: number) {
  let bytes = FIRST_SLICE_BYTES;
  let [slices, mostParts] = [0, 0];
  for (let at = 0; at < READ_BYTES; at += bytes) {
    if (slices > 0) {
      bytes = nextSliceBytes({bytes, parts: Math.floor(bytes / partBytes)});
    }
    slices += 1;
    mostParts = Math.max(mostParts, Math.floor(bytes / partBytes));
  }
  return {slices, mostParts};
}

const parsed = (fields: Partial<ParsedInput> = {}): ParsedInput => ({
  unanswered: 1,
  piecesInRow: 0,
  unstartedBytes: 0,
  ...fields,
});

describe('the input of a connection', () => {
  describe('is parsed in slices', () => {
    // Load: uploads with a length, 64 KiB a read; guards against a cost that ordinary bodies notice.
    it('of which a read of a large body takes less than ten', () => {
      assert.ok(sliceRead(READ_BYTES).slices < 10);
    });

    // Load: one-byte chunks of 6 bytes; a whole read holds 10,900 of them.
    it('of at most a hundred and seventy chunks of a byte', () => {
      assert.ok(sliceRead(6).mostParts <= 170);
    });

    // Load: the shortest requests, of 18 bytes; a whole read holds 3,600 of them.
    it('of at most sixty requests', () => {
      assert.ok(sliceRead(18).mostParts <= 60);
    });
  });

  describe('waits', () => {
    // Guards against pauses in calm: an upload of 1 MB in reads of 64 KiB behind a started request.
    it('for nothing with few requests and pieces', () => {
      assert.equal(waitReason(parsed({piecesInRow: 100})), undefined);
    });

    // Load: 3,000 requests sent ahead on each of 200 connections.
    it('for answers behind sixteen requests', () => {
      assert.equal(
        waitReason(parsed({unanswered: 16, piecesInRow: 1_000})),
        WAIT_REASON.requests,
      );
    });

    // Load: bodies of 4 MB sent ahead behind a request that takes seconds.
    it('for the start of a request with a large body', () => {
      assert.equal(
        waitReason(parsed({unstartedBytes: 65_536})),
        WAIT_REASON.start,
      );
    });

    // Load: 20,000 one-byte chunks on each of 400 connections.
    it('for others behind many pieces', () => {
      assert.equal(waitReason(parsed({piecesInRow: 512})), WAIT_REASON.pieces);
    });
  });
});
