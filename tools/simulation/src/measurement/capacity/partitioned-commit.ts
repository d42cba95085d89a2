// Whether coordinators that are partitioned from most gateways acknowledge a change (§7.2).
import { type CoreClient, type CoreRequest, type CoreValue, core, coreClient } from '@thornsail/consensus';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { address, duration } from '@thornsail/runtime';
import { hollowConfig } from '../hollow.js';
import { newWorld, nodeOf } from './fixtures.js';
import { type SizeCheck, type Part, pick } from './slope.js';

/**
 * Partitions the coordinators from three fifths of the gateways, which continue to serve (§7.2), and checks whether a
 * change is acknowledged that those gateways cannot receive.
 */
export const partitionedCommit: Part = async (sizes) => {
  const outcomes: SizeCheck['points'] = [];
  for (const gateways of pick(sizes, [20, 40, 80, 160, 380], [20, 80])) {
    const sim = newWorld();
    const founders = [0, 1, 2].map((i) => nodeOf(i).place);
    const usedVersions = new Map<string, number>();
    for (const i of [0, 1, 2]) {
      const runtime = sim.runtime(sim.host(address.host(founders[i]!), `z${i}`));
      void rpc.open(runtime, founders[i]!).then(async (endpoint) =>
        core.open({
          runtime,
          rpc: endpoint,
          durable: await durableStore.open(runtime.disk),
          founders,
          onCommit: () => undefined,
          usedVersion: (id) => usedVersions.get(id) ?? 0,
        }),
      );
    }
    const runtime = sim.runtime(sim.host('10.1.0.1', 'z0'));
    let client: CoreClient | undefined;
    void rpc
      .open(runtime, '10.1.0.1:1')
      .then((endpoint) => (client = coreClient.open({ runtime, rpc: endpoint, coordinators: () => founders })));
    await sim.run(duration.s(3));
    const send = async <R extends CoreRequest>(request: R): Promise<CoreValue<R>> => {
      let answer: { value: CoreValue<R> } | undefined;
      void client!.request(request, duration.s(20)).then((value) => (answer = value));
      for (let i = 0; i < 20_000 && !answer; i++) await sim.run(sim.now() + duration.ms(1));
      if (!answer) throw new Error(`${request.type}: no answer`);
      return answer.value;
    };
    const nodes = Array.from({ length: 2 * gateways }, (_, i) => nodeOf(19 + i));
    for (const node of nodes) await send({ type: 'join', node });
    const cutOff = nodes.slice(0, 2 * Math.round(gateways * 0.6));
    const reachable = nodes.slice(cutOff.length);
    const watchers = reachable.slice(0, 2).map((n) => n.id);
    await send({
      type: 'suspect',
      suspicions: cutOff.flatMap((n) => watchers.map((watcher) => ({ watcher, id: n.id, incarnation: 1 }))),
    });
    await sim.run(sim.now() + duration.s(8));
    for (const n of reachable) usedVersions.set(n.id, 1);
    const body = hollowConfig(1);
    const result = await send({ type: 'push', push: { id: 'c', base: 0, how: 'whole', body } });
    outcomes.push([gateways, result.ok ? 'acknowledged' : result.why]);
  }
  const what = 'a change, with the core cut off from three fifths of the gateways, which serve on';
  return { slopes: [], failed: [], checks: [{ what, by: 'gateway', points: outcomes }] };
};
