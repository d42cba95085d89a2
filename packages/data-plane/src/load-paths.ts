// Which edges an edge tells of load (§3.5). Few edges tell each other directly. Many edges form the rows of a grid: an
// edge tells its own row, and one edge of each row passes the row's load on to each edge of the other rows. An edge
// then sends and receives about 2√n messages for each change of all n edges, instead of n.
import type { Address } from '@thornsail/runtime';

/** A live edge, as the roster has it. */
export type EdgePeer = { id: string; place: Address; zone: string };
/** Addresses of the edges that one edge sends to, itself excluded. */
export type LoadPaths = {
  /** Edges that hear of this edge's own load from itself. */
  row: Address[];
  /** Edges of other rows, that hear of this edge's whole row from it; empty where all tell each other directly. */
  otherRows: Address[];
};
/** Up to so many edges tell each other directly: one hop, and few enough messages. */
export const directUpTo = 16;

const compare = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);
/** Rows of nearly equal length, of neighbours by zone: most of what stays within a row stays within its zone. */
const rowsOf = (peers: readonly EdgePeer[]): EdgePeer[][] => {
  const sorted = [...peers].sort((a, b) => compare(a.zone, b.zone) || compare(a.id, b.id));
  const count = Math.round(Math.sqrt(sorted.length));
  const start = (row: number): number => Math.floor((row * sorted.length) / count);
  return Array.from({ length: count }, (_, row) => sorted.slice(start(row), start(row + 1)));
};

/** Computes whom an edge sends to. */
export const loadPaths = {
  /** All edges compute the same grid from the same roster. An edge that the roster does not have tells all directly. */
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
