// durable store: documents kept on disk, one file for each version, with a checksum by which a torn file shows (§6.1).
import { fault, hash, lock, type Disk } from '@thornsail/runtime';

export { batches, type Batches, type Index, type Slot } from './batches.js';
export { merge, usualLimits, type Limits } from './merge.js';
export type { Extent } from './format.js';

export type DurableStore = {
  /** The newest sound version of a document. */
  read: <T>(name: string) => Promise<{ mark: number; value: T } | undefined>;
  /** Resolves once synced. Older versions are dropped only afterwards. */
  write: (name: string, mark: number, value: unknown) => Promise<void>;
  /** Resolves once the folder is synced: from then on none of these documents comes back. */
  remove: (names: string[]) => Promise<void>;
  names: () => string[];
  /** Forgets everything: a damaged folder is an empty one, and its machine a new identity (§6.1). */
  wipe: () => Promise<void>;
  counts: () => { syncs: number; torn: number };
  /** The folder itself, for what is kept in it by other forms than documents; a failed disk is not written again. */
  disk: Disk;
  sawDamage: () => void;
};

const enc = (s: string): string => encodeURIComponent(s).replace(/\*/g, '%2A').replace(/\./g, '%2E');
/** Names of files that are no documents (batches.ts). A document of such a name has its first letter escaped. */
const reserved = /^(b|base)$/;
const nameOf = (s: string): string => (reserved.test(s) ? `%${s.charCodeAt(0).toString(16)}${s.slice(1)}` : enc(s));
const file = (name: string, mark: number): string => `${nameOf(name)}.${String(mark).padStart(12, '0')}`;
const seal = (text: string): string => `${hash.of(text).toString(16)} ${text.length}\n${text}`;
const unseal = (raw: string): string | undefined => {
  const i = raw.indexOf('\n');
  if (i < 0) return undefined;
  const text = raw.slice(i + 1);
  return raw.slice(0, i) === `${hash.of(text).toString(16)} ${text.length}` ? text : undefined;
};
const numbered = /^(.+)\.(\d{12})$/;
/** Stands there while a damaged folder is emptied: a loss of power must not leave half of it to be taken as sound. */
const wiping = 'wiping';

const filesAtOnce = 64;

export const durableStore = {
  /**
   * Reads every document once, giving each to `see`, and then `more`, which says whether the rest of the folder is
   * sound; a damaged folder is emptied, and false returned (§6.1).
   */
  sound: async (
    durable: DurableStore,
    log: (text: string) => void,
    see: (name: string, doc: { mark: number; value: unknown }) => void = () => undefined,
    more: () => Promise<boolean> = async () => true,
  ): Promise<boolean> => {
    const left = durable.names();
    const half = left.includes(wiping);
    const work = async (): Promise<void> => {
      for (let name = left.pop(); name !== undefined; name = left.pop()) {
        const d = await durable.read(name);
        if (d) see(name, d);
      }
    };
    if (!half) await Promise.all(Array.from({ length: filesAtOnce }, work));
    if (!half && durable.counts().torn === 0 && (await more())) return true;
    log('the data folder is damaged: it is emptied, and this is a new identity.');
    await durable.wipe();
    return false;
  },
  /**
   * `onFailed` hears of the first write that failed for any reason but want of room. From then on nothing is written:
   * what the disk holds is not known, and a second try that seems to work would prove nothing (§6.1).
   */
  open: async (folder: Disk, onFailed: (e: Error) => void = () => undefined): Promise<DurableStore> => {
    const have = new Map<string, number[]>();
    const c = { syncs: 0, torn: 0 };
    const all = await folder.list();
    // Names that a killed process left may be seen by now, and yet be lost with the power: they are synced before use.
    await folder.settle([]);
    for (const f of all) {
      const [, name, mark] = numbered.exec(f) ?? [];
      if (name === undefined || reserved.test(name)) continue;
      const doc = decodeURIComponent(name);
      have.set(
        doc,
        [...(have.get(doc) ?? []), Number(mark)].sort((a, b) => a - b),
      );
    }
    const keyed = lock.keyed();
    let failed: Error | undefined;
    const guarded = async (work: () => Promise<void>): Promise<void> => {
      if (failed) throw failed;
      try {
        await work();
        c.syncs += 1;
      } catch (e) {
        if (fault.info(e).code === 'full' || failed) throw e;
        failed = e as Error;
        onFailed(failed);
        throw e;
      }
    };
    const disk: Disk = {
      ...folder,
      put: (name, text) => guarded(() => folder.put(name, text)),
      reserve: (names) => guarded(() => folder.reserve(names)),
      fill: (name, text) => guarded(() => folder.fill(name, text)),
    };
    const write: DurableStore['write'] = (name, mark, value) =>
      keyed(name, async () => {
        await disk.put(file(name, mark), seal(JSON.stringify(value)));
        const old = (have.get(name) ?? []).filter((m) => m !== mark);
        have.set(
          name,
          [...old, mark].sort((a, b) => a - b),
        );
        const newest = Math.max(mark, ...old);
        for (const m of old)
          if (m < newest) {
            // An old version that stays does no harm: the newest counts.
            await disk.drop(file(name, m)).catch(() => undefined);
            have.set(
              name,
              (have.get(name) ?? []).filter((x) => x !== m),
            );
          }
      });
    const removeOne = (name: string): Promise<void> =>
      keyed(name, async () => {
        for (const m of have.get(name) ?? []) await disk.drop(file(name, m));
        have.delete(name);
      });
    return {
      read: async <T>(name: string) => {
        for (const mark of [...(have.get(name) ?? [])].reverse()) {
          const raw = await disk.get(file(name, mark));
          const text = raw === undefined ? undefined : unseal(raw);
          if (text !== undefined) return { mark, value: JSON.parse(text) as T };
          c.torn += 1;
        }
        return undefined;
      },
      write,
      remove: async (names) => {
        const left = names.values();
        const work = async (): Promise<void> => {
          for (const name of left) await removeOne(name);
        };
        await Promise.all(Array.from({ length: filesAtOnce }, work));
        await disk.settle([]);
      },
      names: () => [...have.keys()],
      wipe: async () => {
        await write(wiping, 1, {});
        for (const f of await disk.list()) if (numbered.test(f) && f !== file(wiping, 1)) await disk.drop(f);
        have.clear();
        // The mark goes last: its name must not be lost while others come back.
        await disk.settle([]);
        await disk.drop(file(wiping, 1));
        await disk.settle([]);
      },
      counts: () => ({ ...c }),
      disk,
      sawDamage: () => {
        c.torn += 1;
      },
    };
  },
};
