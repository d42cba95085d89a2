// The files of records (§6.1): names, checksum and length, one record a line.
import { crc32 } from 'node:zlib';

export type Kind = 'b' | 'base';
/** A file in effect: the keys of its records, their bytes, and the bytes of those that are the newest of their key. */
export type Extent = { kind: Kind; n: number; keys: string[]; bytes: number; live: number };
/** The newest base file says what is in effect: the base files `parts`, and the batches after `upTo`. */
export type BaseHead = { upTo: number; parts: number[] };
/** The number of the batch that a record came in, and no value if its key was removed. */
export type Line<T> = { key: string; seq: number; value?: T };

export const format = {
  file: (kind: Kind, n: number): string => `${kind}.${String(n).padStart(12, '0')}`,
  numbers: (all: string[], kind: Kind): number[] =>
    all
      .filter((f) => f.startsWith(`${kind}.`) && /^\d{12}$/.test(f.slice(kind.length + 1)))
      .map((f) => Number(f.slice(kind.length + 1)))
      .sort((a, b) => a - b),
  seal: (lines: string[]): string => {
    const text = lines.join('\n');
    return `${crc32(text).toString(16)} ${text.length}\n${text}`;
  },
  /** The lines of a file, or nothing if it is torn or damaged. */
  unseal: (raw: string | undefined): string[] | undefined => {
    const i = raw?.indexOf('\n') ?? -1;
    if (raw === undefined || i < 0) return undefined;
    const text = raw.slice(i + 1);
    return raw.slice(0, i) === `${crc32(text).toString(16)} ${text.length}` ? text.split('\n') : undefined;
  },
  /** In a batch, whose number is that of all its records. */
  batchLine: <T>(key: string, value: T | undefined): string =>
    JSON.stringify(value === undefined ? [key] : [key, value]),
  baseLine: <T>(x: Line<T>): string => JSON.stringify(x.value === undefined ? [x.key, x.seq] : [x.key, x.seq, x.value]),
  readBatchLine: <T>(line: string, seq: number): Line<T> => {
    const [key, value] = JSON.parse(line) as [string, T?];
    return value === undefined ? { key, seq } : { key, seq, value };
  },
  readBaseLine: <T>(line: string): Line<T> => {
    const [key, seq, value] = JSON.parse(line) as [string, number, T?];
    return value === undefined ? { key, seq } : { key, seq, value };
  },
};
