/**
 * Deprecated commands and flags that the command line still accepts. Those of roles and settings keys come from
 * `@thornsail/config-schema`; this module adds the commands that are not roles.
 */
import { configSchema, deprecatedNames, deprecationWarning, type Role } from '@thornsail/config-schema';

const currentCommands: Readonly<Record<string, string>> = { glass: 'query' };

/** A command line in current names, with one warning for the operator for each deprecated name. */
export type CurrentCommandLine = { args: string[]; warnings: string[] };

const currentCommand = (command: string): { name: string; warnings: string[] } => {
  if (!Object.hasOwn(currentCommands, command)) return deprecatedNames.role(command);
  const name = currentCommands[command]!;
  return { name, warnings: [deprecationWarning(command, name)] };
};

/** A flag, `--key` or `--key=value`, with the current key. */
const currentFlag = (role: Role, arg: string): { name: string; warnings: string[] } => {
  const [, key, rest] = /^--([^=]+)(.*)$/s.exec(arg) ?? [];
  if (key === undefined) return { name: arg, warnings: [] };
  const current = deprecatedNames.key(role, key);
  if (current.name === key) return { name: arg, warnings: [] };
  return { name: `--${current.name}${rest}`, warnings: [deprecationWarning(`--${key}`, `--${current.name}`)] };
};

/** Translates the arguments after the program name into current names. */
export const currentCommandLine = ([command, ...flags]: readonly string[]): CurrentCommandLine => {
  if (command === undefined) return { args: [], warnings: [] };
  const current = currentCommand(command);
  const { name } = current;
  const currentFlags = configSchema.isRole(name)
    ? flags.map((flag) => currentFlag(name, flag))
    : flags.map((flag) => ({ name: flag, warnings: [] }));
  return {
    args: [name, ...currentFlags.map((flag) => flag.name)],
    warnings: [...current.warnings, ...currentFlags.flatMap((flag) => flag.warnings)],
  };
};
