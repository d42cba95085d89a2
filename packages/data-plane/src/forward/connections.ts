/**
 * Pools of HTTP connections to workers (§5.8), one pool for each incarnation of a worker. The connection that has been
 * idle longest is used first, so that a surplus response shows before the next request is sent on it. A connection that
 * its worker is about to close is not used any more.
 */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Clock, type HttpConnection, type Net, type Microseconds } from '@thornsail/runtime';

type IdleConnection = { connection: HttpConnection; idleSince: Microseconds; idleFor: Microseconds };
/** `used`: connections in use. `listed`: the worker is on the worker list, so idle connections are pooled. */
type Pool = { idle: IdleConnection[]; used: number; listed: boolean };
/** A connection that serves one exchange. Only the first call of `done` or `discard` has an effect. */
export type Lease = {
  connection: HttpConnection;
  /** The connection has served an exchange before. */
  reused: boolean;
  /**
   * Returns the connection to the pool after a complete response. `keepAlive`: the idle timeout of the worker's
   * Keep-Alive header in seconds, null if it sent none.
   */
  done: (keepAlive: number | null) => void;
  /** Closes the connection, since the next bytes on it may belong to no request. */
  discard: () => void;
};
/** The connections of one gateway to all workers. */
export type Connections = {
  /** Undefined where `limit` connections to the worker, this gateway's share of its limit, are in use. */
  acquire: (worker: WorkerEntry, limit: number) => Lease | undefined;
  /** Closes the pools of the workers that are not among `ids`. */
  retain: (ids: ReadonlySet<string>) => void;
  /** Metrics: connections opened and reused since the start; `held`: open now, in use or idle. */
  counts: () => { opened: number; reused: number; held: number };
  close: () => void;
};

const connectWithin = duration.ms(500);
/** Idle timeout assumed for a worker that announces none: workers were seen to keep idle connections at least 4 s. */
const defaultIdleTimeout = duration.s(4);
/** A connection is not used any more when its worker is to close it within this time. */
const idleTimeoutMargin = duration.ms(400);

/** Opens the connection pools of one gateway. */
export const connections = {
  open: (options: { clock: Clock; net: Net }): Connections => {
    const pools = new Map<string, Pool>();
    const counters = { opened: 0, reused: 0 };
    const poolOf = (id: string): Pool => {
      const pool = pools.get(id) ?? { idle: [], used: 0, listed: true };
      pools.set(id, pool);
      return pool;
    };
    /** Closes idle connections now; those in use count until their responses have ended, and are closed then. */
    const closePool = (id: string, pool: Pool): void => {
      pool.listed = false;
      for (const { connection } of pool.idle.splice(0)) connection.close();
      if (pool.used === 0) pools.delete(id);
    };
    const isUsable = (entry: IdleConnection): boolean =>
      entry.connection.isOpen() && options.clock.now() - entry.idleSince < entry.idleFor;
    const takeIdle = (pool: Pool): HttpConnection | undefined => {
      for (let entry = pool.idle.shift(); entry; entry = pool.idle.shift()) {
        if (isUsable(entry)) return entry.connection;
        entry.connection.close();
      }
      return undefined;
    };
    const createLease = (id: string, pool: Pool, connection: HttpConnection, reused: boolean): Lease => {
      let ended = false;
      const end = (): boolean => {
        if (ended) return false;
        ended = true;
        pool.used -= 1;
        if (!pool.listed && pool.used === 0) pools.delete(id);
        return true;
      };
      return {
        connection,
        reused,
        done: (keepAlive) => {
          if (!end()) return;
          const idleFor =
            keepAlive === null ? defaultIdleTimeout : Math.max(0, duration.s(keepAlive) - idleTimeoutMargin);
          if (pool.listed && connection.isOpen() && idleFor > 0)
            pool.idle.push({ connection, idleSince: options.clock.now(), idleFor });
          else connection.close();
        },
        discard: () => {
          if (end()) connection.close();
        },
      };
    };
    return {
      acquire: (worker, limit) => {
        const pool = poolOf(worker.id);
        if (pool.used >= limit) return undefined;
        pool.listed = true;
        const idle = takeIdle(pool);
        pool.used += 1;
        if (idle) {
          counters.reused += 1;
          return createLease(worker.id, pool, idle, true);
        }
        counters.opened += 1;
        return createLease(
          worker.id,
          pool,
          options.net.connectHttp(worker.at, { connectTimeout: connectWithin }),
          false,
        );
      },
      retain: (ids) => {
        for (const [id, pool] of [...pools]) if (!ids.has(id)) closePool(id, pool);
      },
      counts: () => ({
        ...counters,
        held: [...pools.values()].reduce((total, pool) => total + pool.used + pool.idle.length, 0),
      }),
      close: () => {
        for (const [id, pool] of [...pools]) closePool(id, pool);
      },
    };
  },
};
