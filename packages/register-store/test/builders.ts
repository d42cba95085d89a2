/** A simulated cluster of stores and edges, and what its tests share. */
import { world, type Host, type World } from '@thornsail/simulation';
import * as assert from 'uvu/assert';
import {
  registers,
  store,
  sweep,
  type Group,
  type Registers,
  type Store,
  type SweepResult,
  type Write,
} from '@thornsail/register-store';
import { fault, invariant, duration, type Microseconds } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, type Rpc } from '@thornsail/rpc';

export type Cluster = {
  w: World;
  hosts: Host[];
  stores: Map<number, Store>;
  boot: (i: number) => Promise<void>;
  group: (mark: number, ids: number[]) => void;
  edge: (n: number, near?: (id: string) => number) => Promise<{ regs: Registers; host: Host; rpc: Rpc }>;
  pass: (e: { regs: Registers; rpc: Rpc }, all: boolean) => Promise<SweepResult>;
  wait: (t: Microseconds) => Promise<void>;
};
export const at = (i: number): string => `127.0.2.${i}:7101`;
/** Stores by number, edges by number, and a story told in simulated time. A store is in the zone of its number. */
export const withCluster = async (
  seed: number,
  story: (cluster: Cluster) => Promise<void>,
  o: { grace?: Microseconds; diskTime?: Microseconds } = {},
): Promise<void> => {
  invariant.clear();
  const w = world.open({
    seed,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    ...(o.diskTime ? { diskTime: o.diskTime } : {}),
  });
  const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.2.${i}`, `z${i}`));
  const stores = new Map<number, Store>();
  let group: Group = { version: 0, members: [] };
  const s: Cluster = {
    w,
    hosts,
    stores,
    boot: async (i) => {
      const runtime = w.runtime(hosts[i - 1]!);
      const p = await rpc.open(runtime, at(i));
      const durable = await durableStore.open(runtime.disk);
      stores.set(
        i,
        await store.open({ runtime, rpc: p, durable, freshId: `k${i}`, ...('grace' in o ? { grace: o.grace! } : {}) }),
      );
    },
    group: (mark, ids) => {
      group = { version: mark, members: ids.map((i) => ({ id: `k${i}`, at: at(i) })) };
    },
    edge: async (n, near) => {
      const host = w.host(`127.0.1.${n}`, `z${n}`);
      const runtime = w.runtime(host);
      const p = await rpc.open(runtime, `127.0.1.${n}:7101`);
      const regs = registers.open({ runtime, rpc: p, by: `e${n}`, group: () => group, ...(near ? { near } : {}) });
      return { regs, host, rpc: p };
    },
    pass: (e, all) =>
      sweep.pass({
        clock: w.runtime(w.host('127.0.8.8', 'z9')).clock,
        rpc: e.rpc,
        registers: e.regs,
        group,
        all,
        pause: 0,
        shouldContinue: () => true,
      }),
    wait: (t) =>
      new Promise((fin) => {
        w.scheduleAt(w.now() + t, fin);
      }),
  };
  let done = '';
  const play = async (): Promise<void> => {
    for (const i of [1, 2, 3]) await s.boot(i);
    s.group(1, [1, 2, 3]);
    await story(s);
    done = 'yes';
  };
  play().catch((e) => {
    done = e instanceof Error ? (e.stack ?? e.message) : String(e);
  });
  await w.run(duration.s(20_000));
  assert.is(done, 'yes');
  assert.equal(invariant.breaches(), []);
};
export const put =
  (value: unknown, keep: Microseconds = duration.s(9999)) =>
  (_v: unknown, x: { max: Microseconds }): Write<void> => ({
    stored: { value, expiresAt: x.max + keep },
    result: undefined,
  });
export const append =
  (id: string) =>
  (v: unknown, x: { max: Microseconds }, was: Microseconds): Write<string[]> => {
    const list = (v as string[] | undefined) ?? [];
    return { stored: { value: [...list, id], expiresAt: Math.max(was, x.max + duration.s(60)) }, result: list };
  };
export const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (e) => fault.info(e).code ?? String(e),
  );
/** Frames and time that one thing takes. */
export const cost = async (
  w: World,
  work: () => Promise<unknown>,
): Promise<{ frames: number; bytes: number; took: Microseconds }> => {
  const [frames, bytes, from] = [w.frames(), w.zoneBytes(), w.now()];
  await work();
  return { frames: w.frames() - frames, bytes: w.zoneBytes() - bytes, took: w.now() - from };
};
export const wallAt = (w: World, after: Microseconds): Microseconds =>
  w.runtime(w.host('127.0.8.7', 'z9')).clock.wallTime() + after;

export const fresh = { fresh: true };
/** An edge that reaches some stores alone opens a key and goes no further. */
export const strayed = async (s: Cluster, n: number, key: string, reached: number[]): Promise<void> => {
  const e = await s.edge(n);
  await e.regs.change(`warm${n}`, put(1));
  await s.wait(duration.s(1));
  s.w.partition(
    [e.host],
    s.hosts.filter((_, i) => !reached.includes(i + 1)),
  );
  void e.regs.change(key, append(`stray${n}`), duration.s(2), fresh).catch(() => undefined);
  await s.wait(duration.ms(5));
  s.w.kill(e.host, 'power');
};
