/**
 * The encoded form of the agreed state on the wire, on disk and in the operators' HTTP interface (§3.3, §7.3). It is
 * the format of the previous releases: roles have other names there, and the store group is called `keepers`. The order
 * of fields and fields unknown to this release are preserved.
 */
import { address } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';
import { isReceipts } from './configuration.js';
import type { AgreedState, JoiningNode, NodeEntry, NodeRole, StoreGroup } from './agreed-state.js';
import { decodeSnapshot, isEncodedSnapshot, encodeSnapshot, type EncodedSnapshot, type StateCodec } from './wire.js';
import type { Member, Snapshot } from './types.js';

/** The name of a role in the encoded form. */
export type EncodedRole = 'tower' | 'keeper' | 'pilot' | 'front';
/** A node in its encoded form, as an entry of the agreed state. */
export type EncodedNode = Omit<NodeEntry, 'role' | 'incarnation' | 'status'> & {
  role: EncodedRole;
  inc: number;
  standing: NodeEntry['status'];
};
/** A node that joins, in its encoded form. */
export type EncodedJoiningNode = Omit<EncodedNode, 'standing' | 'since'> & { leaving?: boolean };
/** The agreed state in its encoded form. */
export type EncodedState = Omit<AgreedState, 'nodes' | 'storeGroup' | 'coordinators'> & {
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

/** Maps the names of roles. `decode` returns undefined for an unknown name. */
export const roleCodec = {
  roles: Object.keys(encodedRoles) as NodeRole[],
  encode: (role: NodeRole): EncodedRole => encodedRoles[role],
  decode: (encoded: string): NodeRole | undefined => decodedRoles.get(encoded) as NodeRole | undefined,
  isEncoded: validate.oneOf(...decodedRoles.keys()),
};

type Fields = Record<string, unknown>;
type Field = [name: string, value: unknown];
/** Maps each field of an object and preserves their order. */
const mapFields = (source: object, change: (name: string, value: unknown) => Field): Fields =>
  Object.fromEntries(Object.entries(source).map(([name, value]) => change(name, value)));
type Names = Readonly<Record<string, string>>;
const reversed = (names: Names): Names =>
  Object.fromEntries(Object.entries(names).map(([name, encodedName]) => [encodedName, name]));

const encodedNodeFields: Names = { incarnation: 'inc', status: 'standing' };
const decodedNodeFields = reversed(encodedNodeFields);
const encodeNode = (node: JoiningNode): Fields =>
  mapFields(node, (name, value) =>
    name === 'role' ? [name, encodedRoles[value as NodeRole]] : [encodedNodeFields[name] ?? name, value],
  );
const decodeNode = (node: EncodedJoiningNode): Fields =>
  mapFields(node, (name, value) =>
    name === 'role' ? [name, decodedRoles.get(value as string)] : [decodedNodeFields[name] ?? name, value],
  );

/** Encodes, decodes and validates nodes of the agreed state and nodes that join. */
export const nodeCodec = {
  encode: (node: NodeEntry): EncodedNode => encodeNode(node) as EncodedNode,
  encodeJoining: (node: JoiningNode): EncodedJoiningNode => encodeNode(node) as EncodedJoiningNode,
  decode: (node: EncodedNode): NodeEntry => decodeNode(node) as NodeEntry,
  decodeJoining: (node: EncodedJoiningNode): JoiningNode => decodeNode(node) as JoiningNode,
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

const encodedStateFields: Names = { nodes: 'roster', storeGroup: 'keepers', coordinators: 'towers' };
const decodedStateFields = reversed(encodedStateFields);
const encodeState = (state: AgreedState): Fields =>
  mapFields(state, (name, value) => [
    encodedStateFields[name] ?? name,
    name === 'nodes' ? mapFields(value as object, (id, node) => [id, nodeCodec.encode(node as NodeEntry)]) : value,
  ]);
const decodeState = (encoded: EncodedState): Fields =>
  mapFields(encoded, (name, value) => [
    decodedStateFields[name] ?? name,
    name === 'roster' ? mapFields(value as object, (id, node) => [id, nodeCodec.decode(node as EncodedNode)]) : value,
  ]);

/** Memoizes a function of immutable objects: the same argument object returns the same result object. */
const memoizedByObject = <Source extends object, Result>(
  compute: (source: Source) => Result,
): ((source: Source) => Result) => {
  const cache = new WeakMap<Source, { result: Result }>();
  return (source) => {
    const entry = cache.get(source) ?? { result: compute(source) };
    cache.set(source, entry);
    return entry.result;
  };
};

/** The codec of the agreed state. `decode` may only be called on an encoded form that `isValid` accepts. */
export const stateCodec: StateCodec<AgreedState> = {
  /** Memoized, because a version is sent to several members. */
  encode: memoizedByObject(encodeState),
  decode: (encoded) => decodeState(encoded as EncodedState) as AgreedState,
  isValid: isEncodedState,
};

/** The codec of versions of the agreed state as they are disseminated to all nodes (§3.5). */
export const snapshotCodec = {
  encode: (snapshot: Snapshot<AgreedState>): EncodedSnapshot => encodeSnapshot(snapshot, stateCodec),
  /** Returns the same object for the same argument, because readers compare versions by object identity. */
  decode: memoizedByObject((encoded: EncodedSnapshot): Snapshot<AgreedState> => decodeSnapshot(encoded, stateCodec)),
  isValid: (encoded: unknown): encoded is EncodedSnapshot =>
    isEncodedSnapshot(encoded) && stateCodec.isValid((encoded as EncodedSnapshot).state),
};
