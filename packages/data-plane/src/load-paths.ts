/**
 * The gateways that a gateway sends its load to (§3.5). A small number of gateways send to each other directly. A
 * larger number forms the rows of a grid: a gateway sends to its own row, and one gateway of each row forwards the
 * row's loads to each gateway of the other rows. A gateway then sends and receives about 2√n messages for each change
 * of all n gateways, instead of n.
 */
import type { Address } from '@thornsail/runtime';

/** A live gateway of the membership. `place` is its address. */
export type GatewayPeer = { id: string; place: Address; zone: string };
/** Addresses that one gateway sends to, without its own. */
export type LoadPaths = {
  /** Gateways that this one sends its own load to. */
  row: Address[];
  /** Gateways of other rows that this one forwards its row's loads to; empty if all send to each other directly. */
  otherRows: Address[];
};
/** Up to this number all gateways send to each other directly: one hop, and the number of messages is still small. */
export const maxDirectGateways = 16;

const compare = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);
/** Rows of nearly equal length, sorted by zone, so that most messages within a row stay within a zone. */
const rowsOf = (peers: readonly GatewayPeer[]): GatewayPeer[][] => {
  const sorted = [...peers].sort((a, b) => compare(a.zone, b.zone) || compare(a.id, b.id));
  const count = Math.round(Math.sqrt(sorted.length));
  const start = (row: number): number => Math.floor((row * sorted.length) / count);
  return Array.from({ length: count }, (_, row) => sorted.slice(start(row), start(row + 1)));
};

/** Computes the paths of a gateway. */
export const loadPaths = {
  /** All gateways compute the same grid from the same membership. A gateway that is not in it sends to all directly. */
  compute: (peers: readonly GatewayPeer[], self: string): LoadPaths => {
    const others = (row: readonly GatewayPeer[]): Address[] =>
      row.filter((peer) => peer.id !== self).map((peer) => peer.place);
    if (peers.length <= maxDirectGateways) return { row: others(peers), otherRows: [] };
    const rows = rowsOf(peers);
    const ownRow = rows.find((row) => row.some((peer) => peer.id === self));
    if (!ownRow) return { row: others(peers), otherRows: [] };
    const column = ownRow.findIndex((peer) => peer.id === self);
    // If the own row is shorter than another row, its members serve several columns each.
    const assigned = (row: readonly GatewayPeer[]): GatewayPeer[] => row.filter((_, i) => i % ownRow.length === column);
    return {
      row: others(ownRow),
      otherRows: rows.filter((row) => row !== ownRow).flatMap((row) => others(assigned(row))),
    };
  },
};
