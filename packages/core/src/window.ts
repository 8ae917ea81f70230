/** Items with a time, of which only those within a sliding window count. */

/** Something that happened at a monotonic time, in milliseconds. */
export interface TimedItem {
  readonly atMs: number;
}

/** Returns the items after the monotonic time `sinceMs`. */
export function itemsSince<Item extends TimedItem>(
  items: readonly Item[],
  sinceMs: number,
): readonly Item[] {
  return items.filter(({atMs}) => atMs > sinceMs);
}

/** Adds an item, and drops those that lie `windowMs` milliseconds or more before it. */
export function withItem<Item extends TimedItem>(
  items: readonly Item[],
  item: Item,
  windowMs: number,
): readonly Item[] {
  return [...itemsSince(items, item.atMs - windowMs), item];
}
