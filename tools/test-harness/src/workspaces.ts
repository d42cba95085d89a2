/** The workspaces of the repository: libraries, programs and tools, each kind in its own folder, and the platform. */
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';

/** The folders that contain workspaces; `platform` beside them is itself a workspace. */
export const workspaceFolders = ['packages', 'programs', 'tools'] as const;

/** Paths of all workspaces relative to `root`, such as `packages/consensus`; `platform` is last. */
export const workspacesOf = (root: string): string[] => [
  ...workspaceFolders.flatMap((folder) => readdirSync(path.join(root, folder)).map((name) => path.join(folder, name))),
  'platform',
];

/**
 * The path of a file given by its workspace, such as `consensus/test/model.test.ts`.
 * For a file that does not exist, the path it would have in `packages`.
 */
export const fileOfWorkspace = (root: string, file: string): string => {
  const candidates = ['.', ...workspaceFolders].map((folder) => path.join(root, folder, file));
  return candidates.find((candidate) => existsSync(candidate)) ?? path.join(root, 'packages', file);
};
