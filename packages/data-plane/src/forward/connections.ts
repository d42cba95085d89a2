// Connections kept to workers (§5.8): one pool for each life of a worker. Of the idle ones the one that has rested
// longest is used first, so that a surplus answer shows before the next request is sent; one that its worker is
// about to close is not used any more.
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Clock, type HttpConnection, type Net, type Microseconds } from '@thornsail/runtime';

type Kept = { connection: HttpConnection; idleSince: Microseconds; idleFor: Microseconds };
/** `kept`: its worker is on the list, so that a connection may be kept for its next request. */
type Pool = { idle: Kept[]; used: number; kept: boolean };
export type Lease = {
  connection: HttpConnection;
  /** It has served an exchange before. */
  reused: boolean;
  /** Gives it back after a whole answer; `keepAlive` in seconds, as the worker told it. */
  done: (keepAlive: number | null) => void;
  /** Not to be used again: what comes over it next may belong to nobody. */
  spoilt: () => void;
};
export type Connections = {
  /** Undefined where this gateway's part of what the worker accepts is used up. */
  take: (w: WorkerEntry, most: number) => Lease | undefined;
  /** Forgets the workers that are gone. */
  retain: (ids: ReadonlySet<string>) => void;
  counts: () => { opened: number; reused: number; held: number };
  close: () => void;
};

const connectWithin = duration.ms(500);
/** A worker that tells nothing keeps an idle connection for at least so long, by what we have seen. */
const untold = duration.s(4);
/** What is left of a worker's own time when a connection is not used any more. */
const margin = duration.ms(400);

export const connections = {
  open: (o: { clock: Clock; net: Net }): Connections => {
    const pools = new Map<string, Pool>();
    const c = { opened: 0, reused: 0 };
    const poolOf = (id: string): Pool => {
      const pool = pools.get(id) ?? { idle: [], used: 0, kept: true };
      pools.set(id, pool);
      return pool;
    };
    /** Its idle connections are closed now, those in use behind their answers; these count until then. */
    const giveUp = (id: string, pool: Pool): void => {
      pool.kept = false;
      for (const { connection } of pool.idle.splice(0)) connection.close();
      if (pool.used === 0) pools.delete(id);
    };
    const fit = (k: Kept): boolean => k.connection.isOpen() && o.clock.now() - k.idleSince < k.idleFor;
    const rested = (pool: Pool): HttpConnection | undefined => {
      for (let k = pool.idle.shift(); k; k = pool.idle.shift()) {
        if (fit(k)) return k.connection;
        k.connection.close();
      }
      return undefined;
    };
    const leased = (id: string, pool: Pool, connection: HttpConnection, reused: boolean): Lease => {
      let over = false;
      const end = (): boolean => {
        if (over) return false;
        over = true;
        pool.used -= 1;
        if (!pool.kept && pool.used === 0) pools.delete(id);
        return true;
      };
      return {
        connection,
        reused,
        done: (keepAlive) => {
          if (!end()) return;
          const idleFor = keepAlive === null ? untold : Math.max(0, duration.s(keepAlive) - margin);
          if (pool.kept && connection.isOpen() && idleFor > 0)
            pool.idle.push({ connection, idleSince: o.clock.now(), idleFor });
          else connection.close();
        },
        spoilt: () => {
          if (end()) connection.close();
        },
      };
    };
    return {
      take: (w, most) => {
        const pool = poolOf(w.id);
        if (pool.used >= most) return undefined;
        pool.kept = true;
        const kept = rested(pool);
        pool.used += 1;
        if (kept) {
          c.reused += 1;
          return leased(w.id, pool, kept, true);
        }
        c.opened += 1;
        return leased(w.id, pool, o.net.connectHttp(w.at, { connectTimeout: connectWithin }), false);
      },
      retain: (ids) => {
        for (const [id, pool] of [...pools]) if (!ids.has(id)) giveUp(id, pool);
      },
      counts: () => ({ ...c, held: [...pools.values()].reduce((a, p) => a + p.used + p.idle.length, 0) }),
      close: () => {
        for (const [id, pool] of [...pools]) giveUp(id, pool);
      },
    };
  },
};
