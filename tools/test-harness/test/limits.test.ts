// The limits of the lint, and that the list of files that are over them only shrinks.
import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

type FilesByRule = Record<string, string[]>;

const root = new URL('../../../', import.meta.url);
const listed = JSON.parse(readFileSync(new URL('lint/exceptions.json', root), 'utf8')) as FilesByRule;
const { overLimits } = (await import(new URL('lint/over-limits.js', root).href)) as {
  overLimits: () => Promise<FilesByRule>;
};

/** How many files may be over each limit. These numbers only go down, with the list. */
const most: Record<string, number> = {
  'max-lines': 3,
  'max-lines-per-function': 28,
  'id-length': 57,
  'jsdoc/require-jsdoc': 34,
};

test('the list of files over a limit only shrinks', () => {
  assert.equal(Object.keys(listed).sort(), Object.keys(most).sort());
  for (const [rule, files] of Object.entries(listed)) {
    assert.is(new Set(files).size, files.length, `${rule}: a file is listed twice`);
    assert.not(files.length > (most[rule] ?? 0), `${rule}: ${files.length} files, at most ${most[rule]}`);
    assert.is(files.length, most[rule], `${rule}: the list has shrunk, take the number here down to ${files.length}`);
  }
});
test('a file that is over a limit is listed, and one that is not, is not', async () => {
  const over = await overLimits();
  for (const [rule, files] of Object.entries(listed)) {
    const unlisted = over[rule]!.filter((file) => !files.includes(file));
    const mended = files.filter((file) => !over[rule]!.includes(file));
    assert.equal(unlisted, [], `${rule}: over the limit (at 100 columns) and not listed; mend them`);
    assert.equal(mended, [], `${rule}: not over the limit any more; remove them from lint/exceptions.json`);
  }
});
test.run();
