/** The folder in which a process keeps its documents (§6.1). */

/**
 * One file for one name, in one folder. Writes fail with code `full` if there was no room and nothing has changed, else
 * with `failed`: nobody knows then what the disk holds.
 */
export type Disk = {
  /** Resolves once the text is synced under its name, in place of what stood there. */
  writeDocument: (name: string, text: string) => Promise<void>;
  /** Makes empty files; resolves once the folder is synced, so that their names outlast a loss of power. */
  reserveFiles: (names: string[]) => Promise<void>;
  /**
   * Writes a reserved file and syncs it: a loss of power before that may leave it torn. `text` is asked for when the
   * file is open, and not again.
   */
  writeReserved: (name: string, text: () => string) => Promise<void>;
  /** Syncs what a former process may have left without a sync: these files, and the names of all. */
  syncExisting: (names: string[]) => Promise<void>;
  /** Undefined where there is no such file. */
  read: (name: string) => Promise<string | undefined>;
  list: () => Promise<string[]>;
  remove: (name: string) => Promise<void>;
};
