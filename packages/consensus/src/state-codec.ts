/**
 * The form that the agreed state has between nodes, on disk and in the operators' HTTP (§3.3, §7.3). It is that of the
 * releases before: roles have other names there, and the store group is called `keepers`. The order of fields, and
 * fields that this release does not know, are kept as they are.
 */
import { address } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';
import { isReceipts } from './configuration.js';
import type { StoreGroup } from './groups.js';
import type { NodeEntry, NodeRole, Ordered } from './order.js';
import { decodeSnapshot, isEncodedSnapshot, encodeSnapshot, type EncodedSnapshot, type StateCodec } from './wire.js';
import type { Member, Snapshot } from './types.js';

/** A role by its name between nodes. */
export type EncodedRole = 'tower' | 'keeper' | 'pilot' | 'front';
/** An entry of the membership list in its encoded form. */
export type EncodedNode = Omit<NodeEntry, 'role'> & { role: EncodedRole };
/** The agreed state in its encoded form. */
export type EncodedState = Omit<Ordered, 'roster' | 'storeGroup' | 'coordinators'> & {
  roster: Record<string, EncodedNode>;
  keepers: StoreGroup;
  towers: Member[];
};

const encodedRoles: Readonly<Record<NodeRole, EncodedRole>> = {
  coordinator: 'tower',
  store: 'keeper',
  agent: 'pilot',
  gateway: 'front',
};
const decodedRoles = new Map(Object.entries(encodedRoles).map(([role, encoded]) => [encoded as string, role]));

/** Names of roles. `decode` gives nothing for a name that is not a role's. */
export const roleCodec = {
  roles: Object.keys(encodedRoles) as NodeRole[],
  encode: (role: NodeRole): EncodedRole => encodedRoles[role],
  decode: (encoded: string): NodeRole | undefined => decodedRoles.get(encoded) as NodeRole | undefined,
  isEncoded: validate.oneOf(...decodedRoles.keys()),
};

const decodedRole = (encoded: EncodedRole): NodeRole => decodedRoles.get(encoded) as NodeRole;

/** Entries of the membership list, and the requests to join it. */
export const nodeCodec = {
  encode: <N extends { role: NodeRole }>(node: N): Omit<N, 'role'> & { role: EncodedRole } => ({
    ...node,
    role: encodedRoles[node.role],
  }),
  decode: <N extends { role: EncodedRole }>(node: N): Omit<N, 'role'> & { role: NodeRole } => ({
    ...node,
    role: decodedRole(node.role),
  }),
  isEncoded: validate.object({
    id: validate.string,
    name: validate.string,
    role: roleCodec.isEncoded,
    place: address.ok,
    http: address.ok,
    zone: validate.string,
    inc: validate.integer,
  }),
};

const isMember = validate.object({ id: validate.string, at: address.ok });
const isEncodedState = validate.object({
  config: validate.object({
    mark: validate.integer,
    history: validate.arrayOf(validate.object({ mark: validate.integer })),
  }),
  pushes: validate.arrayOf(validate.object({ id: validate.string, mark: validate.integer })),
  receipts: isReceipts,
  roster: validate.recordOf(nodeCodec.isEncoded),
  keepers: validate.object({
    mark: validate.integer,
    members: validate.arrayOf(isMember),
    swept: validate.integer,
    draining: validate.arrayOf(validate.string),
  }),
});

type Fields = Record<string, unknown>;
type Field = [name: string, value: unknown];
/** Another object with its fields in the same order. */
const mapFields = (from: object, change: (name: string, value: unknown) => Field): Fields =>
  Object.fromEntries(Object.entries(from).map(([name, value]) => change(name, value)));

const encodedNames: Readonly<Record<string, string>> = { storeGroup: 'keepers', coordinators: 'towers' };
const decodedNames: Readonly<Record<string, string>> = { keepers: 'storeGroup', towers: 'coordinators' };
const encodeField = (name: string, value: unknown): Field => {
  if (name === 'roster')
    return [name, mapFields(value as object, (id, node) => [id, nodeCodec.encode(node as NodeEntry)])];
  return [encodedNames[name] ?? name, value];
};
const decodeField = (name: string, value: unknown): Field => {
  if (name === 'roster')
    return [name, mapFields(value as object, (id, node) => [id, nodeCodec.decode(node as EncodedNode)])];
  return [decodedNames[name] ?? name, value];
};

/** A function of immutable objects that does its work once for each, and gives the same object again. */
const oncePerObject = <From extends object, To>(work: (from: From) => To): ((from: From) => To) => {
  const known = new WeakMap<From, { result: To }>();
  return (from) => {
    const entry = known.get(from) ?? { result: work(from) };
    known.set(from, entry);
    return entry.result;
  };
};

/** The agreed state. Nothing is decoded before `isValid` has passed its encoded form. */
export const stateCodec: StateCodec<Ordered> = {
  /** A version goes to several members: it is encoded once. */
  encode: oncePerObject((state: Ordered) => mapFields(state, encodeField)),
  decode: (encoded) => mapFields(encoded as EncodedState, decodeField) as Ordered,
  isValid: isEncodedState,
};

/** Versions of the agreed state as they are spread to all nodes (§3.5). */
export const snapshotCodec = {
  encode: (snapshot: Snapshot<Ordered>): EncodedSnapshot => encodeSnapshot(snapshot, stateCodec),
  /** Gives the same object for the same one: readers compare by identity. */
  decode: oncePerObject((encoded: EncodedSnapshot): Snapshot<Ordered> => decodeSnapshot(encoded, stateCodec)),
  isValid: (encoded: unknown): encoded is EncodedSnapshot =>
    isEncodedSnapshot(encoded) && stateCodec.isValid((encoded as EncodedSnapshot).state),
};
