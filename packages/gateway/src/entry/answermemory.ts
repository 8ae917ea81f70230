/**
 * Limits the memory that an entry uses, over all its requests, for answers
 * buffered until they are complete.
 */

/**
 * Limit for all buffered answers together, in bytes: a fifth of the memory of the
 * smallest node.
 */
export const DEFAULT_LIMIT_BYTES = 40 * 1024 * 1024;

/** An answer that is being buffered. */
export interface BufferedAnswer {
  /** Stops receiving the answer. Called after its memory has been released. */
  readonly abandon: () => void;
}

/** Memory accounting of buffered answers. */
export interface AnswerMemory {
  /**
   * Adds bytes to an answer. While the total exceeds the limit, the largest
   * answer is abandoned.
   */
  readonly add: (answer: BufferedAnswer, bytes: number) => void;
  /** Removes an answer from the accounting. */
  readonly release: (answer: BufferedAnswer) => void;
  /** Size of all buffered answers together, in bytes. */
  readonly bufferedBytes: () => number;
}

/** Options of {@link createAnswerMemory}. */
export interface AnswerMemoryOptions {
  /** Returns the limit for all answers together, in bytes. */
  readonly limitBytes?: () => number;
  /** Called with the bytes of each addition. */
  readonly onAdd?: (bytes: number) => void;
}

/** Creates an accounting without answers. */
export function createAnswerMemory({
  limitBytes = () => DEFAULT_LIMIT_BYTES,
  onAdd = () => undefined,
}: AnswerMemoryOptions = {}): AnswerMemory {
  /** Buffered bytes of each answer. */
  const sizes = new Map<BufferedAnswer, number>();
  let totalBytes = 0;
  const release = (answer: BufferedAnswer) => {
    totalBytes -= sizes.get(answer) ?? 0;
    sizes.delete(answer);
  };
  // An answer that never ends outgrows the others, so it is the one to abandon.
  const findLargest = () =>
    [...sizes].reduce((max, entry) => (entry[1] > max[1] ? entry : max))[0];
  return {
    add: (answer, bytes) => {
      onAdd(bytes);
      sizes.set(answer, (sizes.get(answer) ?? 0) + bytes);
      totalBytes += bytes;
      const limit = limitBytes();
      while (totalBytes > limit) {
        const abandoned = findLargest();
        release(abandoned);
        abandoned.abandon();
      }
    },
    release,
    bufferedBytes: () => totalBytes,
  };
}
