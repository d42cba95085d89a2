/**
 * Which gateways a gateway sends its load to (§3.5). Few gateways send to each other directly. Many form the rows of a
 * grid: a gateway sends to its own row, and one gateway of each row passes the row's load on to each gateway of the
 * other rows. A gateway then sends and receives about 2√n messages for each change of all n, instead of n.
 */
import type { Address } from '@thornsail/runtime';

/** A live gateway, as the membership has it. */
export type EdgePeer = { id: string; place: Address; zone: string };
/** Addresses that one gateway sends to, its own excluded. */
export type LoadPaths = {
  /** Gateways that get this one's own load from itself. */
  row: Address[];
  /** Gateways of other rows that get the load of this one's whole row from it; empty where all send to each other. */
  otherRows: Address[];
};
/** Up to so many gateways send to each other directly: one hop, and few enough messages. */
export const directUpTo = 16;

const compare = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);
/** Rows of nearly equal length, of neighbours by zone: most of what stays within a row stays within its zone. */
const rowsOf = (peers: readonly EdgePeer[]): EdgePeer[][] => {
  const sorted = [...peers].sort((a, b) => compare(a.zone, b.zone) || compare(a.id, b.id));
  const count = Math.round(Math.sqrt(sorted.length));
  const start = (row: number): number => Math.floor((row * sorted.length) / count);
  return Array.from({ length: count }, (_, row) => sorted.slice(start(row), start(row + 1)));
};

/** Computes whom a gateway sends to. */
export const loadPaths = {
  /** All compute the same grid from the same membership. A gateway that is not in it sends to all directly. */
  of: (peers: readonly EdgePeer[], me: string): LoadPaths => {
    const others = (row: readonly EdgePeer[]): Address[] =>
      row.filter((peer) => peer.id !== me).map((peer) => peer.place);
    if (peers.length <= directUpTo) return { row: others(peers), otherRows: [] };
    const rows = rowsOf(peers);
    const own = rows.find((row) => row.some((peer) => peer.id === me));
    if (!own) return { row: others(peers), otherRows: [] };
    const column = own.findIndex((peer) => peer.id === me);
    // A row may be shorter than another: its members then stand for several columns each.
    const mine = (row: readonly EdgePeer[]): EdgePeer[] => row.filter((_, i) => i % own.length === column);
    return { row: others(own), otherRows: rows.filter((row) => row !== own).flatMap((row) => others(mine(row))) };
  },
};
