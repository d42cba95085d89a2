// Operators' calls that the scenarios share (§9.4): changes of the configuration, and whether those that were
// acknowledged are in use.
import { apiRoot } from '@thornsail/admin-api';
import { type Address, type Microseconds, duration } from '@thornsail/runtime';
import type { Fleet } from './fleet/index.js';
import { gatewayAt } from './scene.js';

/** Runs `fn` once `after` microseconds of simulated time have passed. */
export const later = (f: Fleet, after: Microseconds, fn: () => void): void =>
  f.world.scheduleAt(f.world.now() + after, fn);

/** The coordinator that leads now; `coordinator1` while none does. */
export const headOf = (f: Fleet): string =>
  f.processes.find((p) => p.role === 'coordinator' && p.node?.counts()['leads'] === 1)?.name ?? 'coordinator1';

/** Configurations that can be told apart: the n-th has a class `only-n`, by which callers see it in use. */
const nth = (f: Fleet, n: number): Record<string, unknown> => ({
  ...f.shape.config,
  classes: { ...(f.shape.config['classes'] as object), [`only-${n}`]: { kind: 'app', weight: 1 } },
});

/** An acknowledged change: its number, the mark it got, and when it was acknowledged in simulated time. */
export type Pushed = { n: number; mark: number; ackedAt: Microseconds };

/** An operator at one node: reads, pushes, and writes down what was acknowledged, and when. */
export const operator = (f: Fleet, acked: Pushed[]): ((at: Address) => Promise<void>) => {
  let n = 0;
  return async (at) => {
    const mine = ++n;
    try {
      const now = await f.http(at, 'GET', `${apiRoot}/config`);
      if (now.status !== 200) return;
      const r = await f.push(nth(f, mine), Number(now.body['mark']), `op-${mine}`, at);
      if (r.status === 200) acked.push({ n: mine, mark: r.mark, ackedAt: f.world.now() });
    } catch {
      /* Not known: it may have been taken or not. */
    }
  };
};

/** The newest acknowledged configuration is in use, or a newer one, two seconds later, wherever a gateway serves. */
export const inUse = async (f: Fleet, acked: Pushed[], gateway: string): Promise<void> => {
  const sent = f.world.now();
  const due = acked.filter((a) => sent - a.ackedAt > duration.s(2)).sort((a, b) => b.mark - a.mark)[0];
  const older = acked.filter((a) => due && a.mark < due.mark);
  if (!due || older.length === 0) return;
  const old = older[older.length - 1]!;
  const at = f.process(gateway).options['http'] as Address;
  const r = await f.http(at, 'POST', '/v1/jobs', {}, { 'x-thornsail-class': `only-${old.n}` }).catch(() => undefined);
  if (r?.status === 200)
    f.breachesOfItsOwn.push(
      `${gateway} served by configuration ${old.mark}, ${duration.toMs(sent - due.ackedAt)} ms after ${due.mark}`,
    );
};

/** The mark of the configuration that a gateway reads back; -1 when the read fails. */
export const read = async (f: Fleet): Promise<{ mark: number }> => {
  const got: { mark?: number } = {};
  void f.http(gatewayAt(f, 0), 'GET', `${apiRoot}/config`).then(
    (x) => (got.mark = Number(x.body['mark'])),
    () => (got.mark = -1),
  );
  await f.until('a read of the configuration', () => got.mark !== undefined, duration.s(10));
  return { mark: got.mark ?? -1 };
};
