/** The start of a node from its data folder (§6.1): read all of it, or begin again with an empty one. */
import { erasingMarker } from './document-names.js';
import type { DurableStore } from './durable-store.js';
import { forEachConcurrent } from './for-each-concurrent.js';

const readsAtOnce = 64;

/**
 * Reads every document once and gives each to `onDocument`, then calls `loadRest`, which says whether the rest of the
 * folder is valid. Returns false if the folder was damaged: it is empty then. Fails with the disk's code `failed`.
 */
export const recoverFolder = async (
  durable: DurableStore,
  log: (text: string) => void,
  onDocument: (name: string, document: { version: number; value: unknown }) => void = () => undefined,
  loadRest: () => Promise<boolean> = () => Promise.resolve(true),
): Promise<boolean> => {
  const names = durable.names();
  const wasErasing = names.includes(erasingMarker);
  if (!wasErasing)
    await forEachConcurrent(names.reverse(), readsAtOnce, async (name) => {
      const document = await durable.read(name);
      if (document) onDocument(name, document);
    });
  if (!wasErasing && durable.counts().torn === 0 && (await loadRest())) return true;
  log('the data folder is damaged: it is emptied, and this is a new identity.');
  await durable.erase();
  return false;
};
