/** Bounded concurrency over a list of items. */

/**
 * Calls `visit` for each item, at most `concurrency` at a time. Resolves once all calls have; rejects with the first
 * error.
 */
export const forEachConcurrent = async <Item>(
  items: Iterable<Item>,
  concurrency: number,
  visit: (item: Item) => Promise<void>,
): Promise<void> => {
  const remaining = items[Symbol.iterator]();
  const runWorker = async (): Promise<void> => {
    for (let next = remaining.next(); !next.done; next = remaining.next()) await visit(next.value);
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
};
