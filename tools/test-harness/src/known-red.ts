/**
 * The list of tests that are known to fail because of a fault in the code (KNOWN-RED.txt at the repository root).
 *
 * Each line has the form `test | cause | issue`, where `test` is `path/of/file.test.ts: title of the test` as uvu
 * prints it. Empty lines and lines that start with `#` are ignored. The runner tolerates exactly these failures and
 * prints them; a listed test that passes fails the run, so that fixed tests are removed from the list.
 */
import { readFileSync } from 'node:fs';

/** An entry of the list. */
export type KnownRed = { file: string; title: string; cause: string; issue: string };

/** Maximum number of entries. */
export const maxKnownRed = 3;

/** The result of one test file: listed failures, the number of failures not listed, and entries that did not fail. */
export type Judgement = { known: KnownRed[]; unknown: number; stale: KnownRed[] };

const parseLine = (line: string, number: number): KnownRed => {
  const parts = line.split('|').map((part) => part.trim());
  const [test, cause, issue] = parts;
  const separatorIndex = test?.indexOf(': ') ?? -1;
  if (parts.length !== 3 || !test || !cause || !issue || separatorIndex < 1)
    throw new Error(`KNOWN-RED.txt, line ${number}: expected "file.test.ts: title | cause | issue"`);
  return { file: test.slice(0, separatorIndex), title: test.slice(separatorIndex + 2), cause, issue };
};

/** Titles of the tests that failed, as uvu prints them: `FAIL  suite  "title"`. */
const failedTitles = (output: string): string[] =>
  [...output.matchAll(/^\s*FAIL\s+(?:\S+\s+)?"(.*)"\s*$/gm)].map((match) => match[1]!);

/** Reads the list and compares the results of test files with it. */
export const knownRed = {
  /**
   * Parses the list.
   * @param text content of the file; an empty text is an empty list
   * @throws if a line is malformed, or if there are more than `maxKnownRed` entries
   */
  parse: (text: string): KnownRed[] => {
    const entries = text
      .split('\n')
      .map((line, index) => ({ line: line.trim(), number: index + 1 }))
      .filter(({ line }) => line !== '' && !line.startsWith('#'))
      .map(({ line, number }) => parseLine(line, number));
    if (entries.length > maxKnownRed)
      throw new Error(`KNOWN-RED.txt: ${entries.length} tests are listed, ${maxKnownRed} at most are allowed`);
    return entries;
  },

  /** Reads the list from a file; a missing file is an empty list. */
  load: (path: string): KnownRed[] => {
    try {
      return knownRed.parse(readFileSync(path, 'utf8'));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return [];
      throw error;
    }
  },

  /**
   * Compares the result of one test file with the list. A failure without a title (a crash, a file without tests) is
   * never a known one.
   * @param file path of the test file relative to the root, ending in `.ts`, as in the list
   * @param failed number of failures that the runner counted
   * @param output output of the test file
   */
  judge: (list: KnownRed[], file: string, failed: number, output: string): Judgement => {
    const entries = list.filter((entry) => entry.file === file);
    const titles = failedTitles(output);
    const known = entries.filter((entry) => titles.includes(entry.title));
    const stale = entries.filter((entry) => !titles.includes(entry.title));
    return { known, unknown: Math.max(0, failed - known.length), stale };
  },
};
