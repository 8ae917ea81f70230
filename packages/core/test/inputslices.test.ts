import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseCostly,
  FIRST_SLICE_BYTES,
  nextSliceBytes,
  WAIT_REASON,
  waitReason,
  type CostlyInput,
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
  piecesInTurn: 0,
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

    // Load: 20,000 one-byte chunks on each of 400 connections, which take a second of a whole core a turn.
    it('for others behind many pieces, of its own or of a crowd', () => {
      assert.equal(
        waitReason(parsed({piecesInRow: 512, piecesInTurn: 512})),
        WAIT_REASON.pieces,
      );
      assert.equal(
        waitReason(parsed({piecesInRow: 85, piecesInTurn: 1_100})),
        WAIT_REASON.pieces,
      );
    });

    // Guards against ordinary uploads that wait for their turn behind a crowd.
    it('not behind the pieces of a crowd with few of its own', () => {
      assert.equal(
        waitReason(parsed({piecesInRow: 3, piecesInTurn: 5_000})),
        undefined,
      );
    });
  });
});

describe('of the connections that wait since they brought many pieces', () => {
  const costly = (fields: Partial<CostlyInput> = {}): CostlyInput => ({
    pieces: 5_000,
    pieceBytes: 5_000,
    isProtected: false,
    ...fields,
  });

  // Guards against refusing in calm a legal body in one-byte chunks, however long.
  it('none is closed while there are few', () => {
    const waiting = Array.from({length: 8}, () => costly({pieces: 4_000_000}));
    assert.deepEqual(chooseCostly(waiting), []);
  });

  // Load: uploads of 20,000 one-byte chunks on 400 connections.
  it('the costliest are closed until eight are left', () => {
    const waiting = Array.from({length: 400}, (_, n) =>
      costly({pieces: 3_000 + n}),
    );
    const chosen = chooseCostly(waiting);
    assert.equal(chosen.length, 392);
    assert.ok(chosen.every(({pieces}) => pieces > 3_007));
  });

  // Load: 400 uploads of 4 MB in chunks of 1 KB, 4,000 pieces each.
  it('none is closed whose pieces are not small', () => {
    const waiting = Array.from({length: 400}, () =>
      costly({pieceBytes: 5_000 * 1_024}),
    );
    assert.deepEqual(chooseCostly(waiting), []);
  });

  // Guards against refusing short bodies in small chunks, and losing outcomes.
  it('none is closed that has brought few pieces, or may run', () => {
    const short = Array.from({length: 20}, () => costly({pieces: 600}));
    const running = Array.from({length: 20}, () => costly({isProtected: true}));
    assert.deepEqual(chooseCostly([...short, ...running]), []);
  });
});
