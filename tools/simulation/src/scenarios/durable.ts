// Scenario `durable` (§9.4).
import { apiRoot } from '@thornsail/admin-api';
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gatewayAddress, liveProcessNames, run } from '../scenario-support.js';

/** Acknowledged configurations, while coordinators lose power or disks at every moment. */
export const durable: Scenario = {
  rule: 'an acknowledged configuration survives the loss of any one machine with a disk',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    let mark = 1;
    for (let i = 0; i < 3; i++) {
      let res: { status: number; mark: number } | undefined;
      const next = { ...f.shape.config, limits: { onceKeepSeconds: 2000 + i } };
      void f.push(next, mark, `d${i}`, gatewayAddress(f, r.int(7))).then(
        (x) => {
          res = x;
        },
        () => {
          res = { status: 0, mark };
        },
      );
      await f.until('the acknowledgement', () => res !== undefined, duration.s(10));
      if (res!.status === 200) mark = res!.mark;
      // Right after the acknowledgement: power or disk of one machine, the head more often than not.
      const head = f.processes.find((p) => p.role === 'coordinator' && p.node?.counts()['leads'] === 1)?.name;
      const live = liveProcessNames(f, 'coordinator');
      const t = head && r.int(3) > 0 ? head : live[r.int(live.length)]!;
      if (r.int(2) === 0) {
        f.kill(t, 'power');
        await run(f, duration.ms(200 + r.int(1500)));
        f.start(t);
      } else f.replace(t, `coordinator${9 - i}`, `127.77.3.${9 - i}`);
      await f.until(
        'three coordinators in the view again',
        () => {
          const p = f.processes.find((x) => x.role === 'coordinator' && x.node?.counts()['leads'] === 1);
          const v = p?.node?.membership.snapshot();
          return (
            v !== undefined &&
            v.members.length === 3 &&
            v.members.every((m) =>
              f.processes.some((x) => x.role === 'coordinator' && x.host.alive && x.node?.id === m.id),
            )
          );
        },
        duration.s(25),
      );
      let got: { status: number; body: Record<string, unknown> } | undefined;
      void f.http(gatewayAddress(f, r.int(7)), 'GET', `${apiRoot}/config`).then(
        (x) => {
          got = x;
        },
        () => {
          got = { status: 0, body: {} };
        },
      );
      await f.until('a read of the configuration', () => got !== undefined, duration.s(10));
      const value = (got!.body['config'] as { limits?: { onceKeepSeconds?: number } } | undefined)?.limits
        ?.onceKeepSeconds;
      if (got!.status !== 200) f.reportedBreaches.push(`round ${i}: no agreed configuration (${got!.status})`);
      else if (Number(got!.body['mark']) < mark || (res!.status === 200 && value !== 2000 + i))
        f.reportedBreaches.push(`round ${i}: acknowledged mark ${mark} is gone, ${String(got!.body['mark'])} is there`);
      else mark = Number(got!.body['mark']);
    }
    return outcomeOf(f, { mark });
  },
};
