/** The interface to the data folder of a process (§6.1). */

/**
 * Files by name in one folder. Writes fail with code `full` if the disk is full and nothing has changed, otherwise with
 * code `failed`: the contents of the disk are unknown then.
 */
export type Disk = {
  /** Atomically creates or replaces a file; resolves once the text and its name are synced. */
  writeDocument: (name: string, text: string) => Promise<void>;
  /** Creates empty files; resolves once the folder is synced, so that their names survive a power loss. */
  reserveFiles: (names: string[]) => Promise<void>;
  /**
   * Writes a reserved file in place and syncs it; a power loss during the call may leave it torn. `text` is called
   * once, when the file is open.
   */
  writeReserved: (name: string, text: () => string) => Promise<void>;
  /** Syncs what a previous process may have left unsynced: the contents of these files, and the folder. */
  syncExisting: (names: string[]) => Promise<void>;
  /** Returns undefined if there is no such file. */
  read: (name: string) => Promise<string | undefined>;
  /** Returns `length` bytes of a file from `offset`; undefined if there is no such file or it ends before. */
  readPart: (name: string, offset: number, length: number) => Promise<string | undefined>;
  /** Returns the size of a file in bytes; undefined if there is no such file. */
  size: (name: string) => Promise<number | undefined>;
  /** Returns the names of all files, sorted. */
  list: () => Promise<string[]>;
  /** Removes a file, if there is one; not durable before the next sync of the folder. */
  remove: (name: string) => Promise<void>;
};
