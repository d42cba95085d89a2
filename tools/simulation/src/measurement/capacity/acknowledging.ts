// Whether coordinators that are cut off from most gateways acknowledge a change (§7.2).
import { type CoreClient, type CoreRequest, type CoreValue, core, coreClient } from '@thornsail/consensus';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { address, duration } from '@thornsail/runtime';
import { hollowConfig } from '../hollow.js';
import { newWorld, nodeOf } from './fixtures.js';
import { type Found, type Part, pick } from './slope.js';

/**
 * A core that is cut off from three fifths of the gateways, which serve on behind the cut (§7.2): whether it
 * acknowledges
 * a change that they cannot hear of.
 */
export const acknowledging: Part = async (sizes) => {
  const out: Found['points'] = [];
  for (const gateways of pick(sizes, [20, 40, 80, 160, 380], [20, 80])) {
    const w = newWorld();
    const founders = [0, 1, 2].map((i) => nodeOf(i).place);
    const using = new Map<string, number>();
    for (const i of [0, 1, 2]) {
      const runtime = w.runtime(w.host(address.host(founders[i]!), `z${i}`));
      void rpc.open(runtime, founders[i]!).then(async (p) =>
        core.open({
          runtime,
          rpc: p,
          durable: await durableStore.open(runtime.disk),
          founders,
          onCommit: () => undefined,
          usedVersion: (id) => using.get(id) ?? 0,
        }),
      );
    }
    const runtime = w.runtime(w.host('10.1.0.1', 'z0'));
    let client: CoreClient | undefined;
    void rpc
      .open(runtime, '10.1.0.1:1')
      .then((p) => (client = coreClient.open({ runtime, rpc: p, coordinators: () => founders })));
    await w.run(duration.s(3));
    const ask = async <R extends CoreRequest>(request: R): Promise<CoreValue<R>> => {
      let got: { value: CoreValue<R> } | undefined;
      void client!.request(request, duration.s(20)).then((r) => (got = r));
      for (let i = 0; i < 20_000 && !got; i++) await w.run(w.now() + duration.ms(1));
      if (!got) throw new Error(`${request.type}: no answer`);
      return got.value;
    };
    const all = Array.from({ length: 2 * gateways }, (_, i) => nodeOf(19 + i));
    for (const node of all) await ask({ type: 'join', node });
    const cut = all.slice(0, 2 * Math.round(gateways * 0.6));
    const left = all.slice(cut.length);
    const by = left.slice(0, 2).map((n) => n.id);
    await ask({
      type: 'suspect',
      suspicions: cut.flatMap((n) => by.map((watcher) => ({ watcher, id: n.id, incarnation: 1 }))),
    });
    await w.run(w.now() + duration.s(8));
    for (const n of left) using.set(n.id, 1);
    const body = hollowConfig(1);
    const r = await ask({ type: 'push', push: { id: 'c', base: 0, how: 'whole', body } });
    out.push([gateways, r.ok ? 'acknowledged' : r.why]);
  }
  const what = 'a change, with the core cut off from three fifths of the gateways, which serve on';
  return { slopes: [], failed: [], found: [{ what, by: 'gateway', points: out }] };
};
