/** Replies of the operators' HTTP with the names that the command line shows (§7.3): the API has those of before. */
import { roleCodec } from '@thornsail/consensus';

type Body = Record<string, unknown>;
type Row = Record<string, unknown>;

/** The name of a role; what is no role's name in the API stays as it is. */
export const decodeRole = (encoded: string): string => roleCodec.decode(encoded) ?? encoded;

/** Rows of nodes with the names of their roles. */
export const decodeNodes = (rows: Row[]): Row[] =>
  rows.map((row) => ({ ...row, role: decodeRole(String(row['role'])) }));

const statusNames: Readonly<Record<string, string>> = { towers: 'coordinators', keepers: 'stores' };
const renameFields = (body: object, nameOf: (name: string) => string): Body =>
  Object.fromEntries(Object.entries(body).map(([name, value]) => [nameOf(name), value]));

/** The body of a reply about `what`, a path of the API. */
export const decodeReply = (what: string, body: Body): Body => {
  if (what === 'nodes') return { ...body, nodes: decodeNodes(body['nodes'] as Row[]) };
  if (what !== 'status') return body;
  const status = renameFields(body, (name) => statusNames[name] ?? name);
  return { ...status, nodes: renameFields(body['nodes'] as object, decodeRole) };
};
