/**
 * The list of tests that are known to fail for a real fault (KNOWN-RED.txt at the root of the repository).
 *
 * Each line reads `test | cause | issue`, where `test` is `path/of/file.test.ts: title of the test` as uvu prints it.
 * Lines that start with `#` and empty lines are passed over. The runner lets a run pass over just these failures and
 * prints them; a listed test that passes is a failure of the list, so that the list can only shrink.
 */
import { readFileSync } from 'node:fs';

/** One line of the list. */
export type KnownRed = { file: string; title: string; cause: string; issue: string };

/** How many tests the list may hold. */
export const maxKnownRed = 3;

/** What a run of one test file says about the list: failures it does not name, and entries that did not fail. */
export type Judgement = { known: KnownRed[]; unknown: number; stale: KnownRed[] };

const parseLine = (line: string, number: number): KnownRed => {
  const parts = line.split('|').map((part) => part.trim());
  const [test, cause, issue] = parts;
  const at = test?.indexOf(': ') ?? -1;
  if (parts.length !== 3 || !test || !cause || !issue || at < 1)
    throw new Error(`KNOWN-RED.txt, line ${number}: "file.test.ts: title | cause | issue" is needed`);
  return { file: test.slice(0, at), title: test.slice(at + 2), cause, issue };
};

/** Titles of the tests that failed, as uvu prints them: `FAIL  suite  "title"`. */
const failedTitles = (output: string): string[] =>
  [...output.matchAll(/^\s*FAIL\s+(?:\S+\s+)?"(.*)"\s*$/gm)].map((match) => match[1]!);

/** Reads the list and holds the outcome of test files against it. */
export const knownRed = {
  /**
   * Reads the list.
   * @param text content of the file; an empty text is an empty list
   * @throws if a line cannot be read, or if there are more than `maxKnownRed`
   */
  parse: (text: string): KnownRed[] => {
    const entries = text
      .split('\n')
      .map((line, index) => ({ line: line.trim(), number: index + 1 }))
      .filter(({ line }) => line !== '' && !line.startsWith('#'))
      .map(({ line, number }) => parseLine(line, number));
    if (entries.length > maxKnownRed)
      throw new Error(`KNOWN-RED.txt: ${entries.length} tests are listed, ${maxKnownRed} at most may be`);
    return entries;
  },

  /** Reads the list from a file; no file is an empty list. */
  load: (path: string): KnownRed[] => {
    try {
      return knownRed.parse(readFileSync(path, 'utf8'));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return [];
      throw error;
    }
  },

  /**
   * Holds the outcome of one test file against the list. A failure without a readable title (a crash, a file without
   * tests) is never known.
   * @param file the test file as the list names it, relative to the root, ending in `.ts`
   * @param failed how many failures the runner counted
   * @param output what the test file printed
   */
  judge: (list: KnownRed[], file: string, failed: number, output: string): Judgement => {
    const mine = list.filter((entry) => entry.file === file);
    const titles = failedTitles(output);
    const known = mine.filter((entry) => titles.includes(entry.title));
    const stale = mine.filter((entry) => !titles.includes(entry.title));
    return { known, unknown: Math.max(0, failed - known.length), stale };
  },
};
