/** Startup of a node from its data folder (§6.1): loads all of it, or erases it if it is damaged. */
import { erasingMarker } from './document-names.js';
import type { DurableStore } from './durable-store.js';
import { forEachConcurrent } from './for-each-concurrent.js';

const concurrentReads = 64;

/**
 * Reads every document and passes it to `onDocument`, then calls `loadRest`, which returns whether the rest of the
 * folder is valid. Returns false if the folder was damaged and has been erased. Fails with the disk's code `failed`.
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
    await forEachConcurrent(names.reverse(), concurrentReads, async (name) => {
      const document = await durable.read(name);
      if (document) onDocument(name, document);
    });
  if (!wasErasing && durable.counts().torn === 0 && (await loadRest())) return true;
  log('data folder is damaged: erasing it and starting with a new identity');
  await durable.erase();
  return false;
};
