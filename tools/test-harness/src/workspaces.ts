/** Where the workspaces of the repository stand: libraries, programs and tools each in a folder of their own. */
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';

/** The folders that hold workspaces, by what these are. `platform` beside them is a workspace by itself. */
export const workspaceFolders = ['packages', 'programs', 'tools'] as const;

/** The workspaces below `root`, as paths from it, such as `packages/consensus`; `platform` comes last. */
export const workspacesOf = (root: string): string[] => [
  ...workspaceFolders.flatMap((folder) => readdirSync(path.join(root, folder)).map((name) => path.join(folder, name))),
  'platform',
];

/**
 * The whole path of a file that is named by its workspace, such as `consensus/test/model.test.ts`.
 * One that stands nowhere is given as if it were a file of a library.
 */
export const fileOfWorkspace = (root: string, file: string): string => {
  const candidates = ['.', ...workspaceFolders].map((folder) => path.join(root, folder, file));
  return candidates.find((candidate) => existsSync(candidate)) ?? path.join(root, 'packages', file);
};
