/** Queue of outgoing messages of a stream. */

/**
 * Queue with a single reader, which receives the items in order until the queue
 * is closed and empty.
 */
export class SendQueue<T> implements AsyncIterable<T> {
  private readonly items: T[] = [];
  private wakeReader: (() => void) | undefined;
  private isClosed = false;

  push(item: T): void {
    this.items.push(item);
    this.wakeReader?.();
  }

  close(): void {
    this.isClosed = true;
    this.wakeReader?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    for (;;) {
      const item = this.items.shift();
      if (item !== undefined) yield item;
      else if (this.isClosed) return;
      else {
        await new Promise<void>(resolve => {
          this.wakeReader = resolve;
        });
        this.wakeReader = undefined;
      }
    }
  }
}
