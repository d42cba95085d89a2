// A copy of the built workspaces in a temporary folder, in which texts of a guard are replaced.
import { cpSync, mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { fileOfWorkspace, workspaceFolders, workspacesOf } from '@thornsail/test-harness';
import type { Replacement } from './guard.js';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');
const scope = '@thornsail';

/** A text wherever it stands, however the formatter laid it out over lines. */
const inAnyLayout = (text: string): RegExp => {
  const characters = [...text.replace(/\s+/g, '')].map((one) => one.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&'));
  const withTrailingCommas = characters.map((one) => (/^\\[)\]}]$/.test(one) ? `(?:,\\s*)?${one}` : one));
  return new RegExp(withTrailingCommas.join('\\s*'), 'g');
};

/** Other packages are linked from the repository; the project's own are linked to the copy. */
const linkModules = (folder: string): void => {
  const modules = path.join(folder, 'node_modules');
  mkdirSync(path.join(modules, scope), { recursive: true });
  for (const name of readdirSync(path.join(repository, 'node_modules')))
    if (name !== scope && !name.startsWith('.'))
      symlinkSync(path.join(repository, 'node_modules', name), path.join(modules, name));
  for (const workspace of workspacesOf(folder))
    symlinkSync(path.join(folder, workspace), path.join(modules, scope, path.basename(workspace)));
};

/** Replaces the text wherever it stands in its file; false when the file has no such text. */
const replaceIn = (folder: string, { file, find, replacement }: Replacement): boolean => {
  const target = fileOfWorkspace(folder, file);
  const text = readFileSync(target, 'utf8');
  const pattern = inAnyLayout(find);
  if (!pattern.test(text)) return false;
  writeFileSync(
    target,
    text.replace(pattern, () => replacement),
  );
  return true;
};

/** Copies of the build; whoever makes one removes it. */
export const buildCopy = {
  create: (): string => {
    const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-guard-'));
    for (const name of [...workspaceFolders, 'platform', 'examples'])
      cpSync(path.join(repository, name), path.join(folder, name), { recursive: true });
    writeFileSync(path.join(folder, 'package.json'), '{"type":"module"}');
    linkModules(folder);
    return folder;
  },
  /** Makes the replacements in order; gives the first that has no such text in its file, if there is one. */
  replace: (folder: string, replacements: readonly Replacement[]): Replacement | undefined =>
    replacements.find((one) => !replaceIn(folder, one)),
  remove: (folder: string): void => rmSync(folder, { recursive: true, force: true }),
};
