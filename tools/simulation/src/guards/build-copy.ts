// Creates a copy of the built workspaces in a temporary folder and replaces the texts of a guard in it.
import { cpSync, mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { fileOfWorkspace, workspaceFolders, workspacesOf } from '@thornsail/test-harness';
import type { Replacement } from './guard.js';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');
const scope = '@thornsail';

/** A pattern that matches a text in any layout of the formatter: whitespace and trailing commas are ignored. */
const layoutInsensitive = (text: string): RegExp => {
  const characters = [...text.replace(/\s+/g, '')].map((character) =>
    character.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&'),
  );
  const withTrailingCommas = characters.map((character) =>
    /^\\[)\]}]$/.test(character) ? `(?:,\\s*)?${character}` : character,
  );
  return new RegExp(withTrailingCommas.join('\\s*'), 'g');
};

/** Links third-party packages from the repository, and the project's own packages from the copy. */
const linkModules = (folder: string): void => {
  const modules = path.join(folder, 'node_modules');
  mkdirSync(path.join(modules, scope), { recursive: true });
  for (const name of readdirSync(path.join(repository, 'node_modules')))
    if (name !== scope && !name.startsWith('.'))
      symlinkSync(path.join(repository, 'node_modules', name), path.join(modules, name));
  for (const workspace of workspacesOf(folder))
    symlinkSync(path.join(folder, workspace), path.join(modules, scope, path.basename(workspace)));
};

/** Replaces all occurrences of the text in its file; false if there is none. */
const replaceIn = (folder: string, { file, find, replacement }: Replacement): boolean => {
  const target = fileOfWorkspace(folder, file);
  const text = readFileSync(target, 'utf8');
  const pattern = layoutInsensitive(find);
  if (!pattern.test(text)) return false;
  writeFileSync(
    target,
    text.replace(pattern, () => replacement),
  );
  return true;
};

/** Copies of the build; the caller of `create` has to `remove` the folder. */
export const buildCopy = {
  create: (): string => {
    const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-guard-'));
    for (const name of [...workspaceFolders, 'platform', 'examples'])
      cpSync(path.join(repository, name), path.join(folder, name), { recursive: true });
    writeFileSync(path.join(folder, 'package.json'), '{"type":"module"}');
    linkModules(folder);
    return folder;
  },
  /** Makes the replacements in order; stops at the first whose text is not in its file, and returns it. */
  replace: (folder: string, replacements: readonly Replacement[]): Replacement | undefined =>
    replacements.find((replacement) => !replaceIn(folder, replacement)),
  remove: (folder: string): void => rmSync(folder, { recursive: true, force: true }),
};
