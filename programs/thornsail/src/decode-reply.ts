/** Translates names in replies of the admin API, which keeps those of the first release, into current ones (§7.3). */
import { roleCodec } from '@thornsail/consensus';

type Body = Record<string, unknown>;
type Row = Record<string, unknown>;

/** The current name of a role; a name that is not a role of the API is returned unchanged. */
export const decodeRole = (encoded: string): string => roleCodec.decode(encoded) ?? encoded;

/** Rows of nodes with the current names of their roles. */
export const decodeNodes = (rows: Row[]): Row[] =>
  rows.map((row) => ({ ...row, role: decodeRole(String(row['role'])) }));

const statusNames: Readonly<Record<string, string>> = { towers: 'coordinators', keepers: 'stores' };
const renameFields = (body: object, nameOf: (name: string) => string): Body =>
  Object.fromEntries(Object.entries(body).map(([name, value]) => [nameOf(name), value]));

/** The body of a reply to `what`, a path of the API, in current names. */
export const decodeReply = (what: string, body: Body): Body => {
  if (what === 'nodes') return { ...body, nodes: decodeNodes(body['nodes'] as Row[]) };
  if (what !== 'status') return body;
  const status = renameFields(body, (name) => statusNames[name] ?? name);
  return { ...status, nodes: renameFields(body['nodes'] as object, decodeRole) };
};
