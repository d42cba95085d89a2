/** Calls `visit` for each item, at most `concurrency` at a time, and resolves once all are done. */
export const forEachConcurrent = async <Item>(
  items: Iterable<Item>,
  concurrency: number,
  visit: (item: Item) => Promise<void>,
): Promise<void> => {
  const left = items[Symbol.iterator]();
  const work = async (): Promise<void> => {
    for (let next = left.next(); !next.done; next = left.next()) await visit(next.value);
  };
  await Promise.all(Array.from({ length: concurrency }, work));
};
