/** Collects the pieces of a request body in blocks, so that a small piece does not hold the whole input that it was read with. */

/** Size of a block, in bytes; larger pieces are blocks of their own. */
const BLOCK_BYTES = 16_384;

/** Size of the first block, in bytes: most bodies are small. */
const FIRST_BLOCK_BYTES = 1_024;

/** A body that is being received. */
export interface BodyBlocks {
  readonly add: (piece: Buffer) => void;
  readonly concat: () => Buffer;
  /** Drops what has been received. */
  readonly clear: () => void;
}

/** Creates an empty body. */
export function createBodyBlocks(): BodyBlocks {
  let blocks: Buffer[] = [];
  let last = Buffer.alloc(0);
  /** Used bytes of the last block. */
  let used = 0;
  const endBlock = () => {
    if (used > 0) blocks.push(last.subarray(0, used));
    last = Buffer.alloc(0);
    used = 0;
  };
  return {
    add: piece => {
      if (piece.length >= BLOCK_BYTES) {
        endBlock();
        blocks.push(piece);
        return;
      }
      if (used + piece.length > last.length) {
        const isFirst = blocks.length === 0 && used === 0;
        endBlock();
        last = Buffer.allocUnsafeSlow(
          Math.max(piece.length, isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES),
        );
      }
      used += piece.copy(last, used);
    },
    concat: () => {
      endBlock();
      const [first = Buffer.alloc(0)] = blocks;
      return blocks.length > 1 ? Buffer.concat(blocks) : first;
    },
    clear: () => {
      blocks = [];
      last = Buffer.alloc(0);
      used = 0;
    },
  };
}
