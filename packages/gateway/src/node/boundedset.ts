/** Sets that remember a limited number of items. */

/** Deletes the items that were added first until at most `maxSize` are left. */
export function dropOldest(items: Set<unknown>, maxSize: number): void {
  for (const oldest of items) {
    if (items.size <= maxSize) return;
    items.delete(oldest);
  }
}
