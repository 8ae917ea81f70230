/** Messages of one stream in the order in which they were added. */

/** Queue that a stream reads until it is closed. */
export class SendQueue<T> implements AsyncIterable<T> {
  private readonly items: T[] = [];
  private wake: (() => void) | undefined;
  private isClosed = false;

  push(item: T): void {
    this.items.push(item);
    this.wake?.();
  }

  close(): void {
    this.isClosed = true;
    this.wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    for (;;) {
      const item = this.items.shift();
      if (item !== undefined) yield item;
      else if (this.isClosed) return;
      else {
        await new Promise<void>(resolve => {
          this.wake = resolve;
        });
        this.wake = undefined;
      }
    }
  }
}
