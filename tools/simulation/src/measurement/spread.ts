// Changes of the configuration: from the acknowledgement to their use, and past the loss of the leader (§7.2).
import { duration } from '@thornsail/runtime';
import { type Fleet, fleet } from '../fleet/index.js';
import { head, mean, out, pct, row } from './table.js';

export const spread = async (): Promise<void> => {
  out(
    '\n### Configuration: from the acknowledgement to its use at every gateway (simulated, 20 pushes for each shape)\n',
  );
  head(
    'shape',
    'push acknowledged after, p50 ms',
    'in use at all gateways after, p50 ms',
    'worst ms',
    'worst with a relay dead, ms',
  );
  for (const shape of ['lautoka', 'granite'] as const) {
    const acks: number[] = [];
    const used: number[] = [];
    const dead: number[] = [];
    for (const kill of [false, true]) {
      const f = await fleet.open({ seed: 7, shape });
      let mark = 1;
      for (let i = 0; i < 20; i++) {
        const begun = f.world.now();
        let got = -1;
        if (kill && i % 5 === 0) {
          const p = `agent-edge${1 + i / 5}`;
          f.kill(p);
        }
        void f
          .push(
            { ...f.shape.config, limits: { onceKeepSeconds: 1000 + i } },
            mark,
            `m${i}`,
            f.process('gateway-edge7').options['http'] as string,
          )
          .then(
            (r) => {
              got = r.mark;
            },
            () => {
              got = 0;
            },
          );
        while (got < 0) await f.world.run(f.world.now() + duration.ms(1));
        const at = f.world.now();
        acks.push(duration.toMs(at - begun));
        mark = got;
        while (f.processes.some((p) => p.role === 'gateway' && (p.node?.counts()['config_mark'] ?? 0) < mark))
          await f.world.run(f.world.now() + duration.ms(1));
        (kill ? dead : used).push(duration.toMs(f.world.now() - at));
        await f.world.run(f.world.now() + duration.ms(400));
      }
    }
    row(shape, pct(acks, 0.5), pct(used, 0.5), Math.max(...used), Math.max(...dead));
  }
};

export const headloss = async (): Promise<void> => {
  out('\n### A push just after the head of the coordinators was killed (simulated, 20 seeds)\n');
  head('shape', 'acknowledged after, mean ms', 'worst ms');
  for (const shape of ['lautoka', 'granite'] as const) {
    const took: number[] = [];
    for (let seed = 1; seed <= 20; seed++) {
      const f = await fleet.open({ seed, shape });
      await f.world.run(f.world.now() + duration.ms(w100(f)));
      f.kill(f.processes.find((p) => p.role === 'coordinator' && p.node?.counts()['leads'] === 1)!.name, 'power');
      const begun = f.world.now();
      let got = -1;
      void f.push({ ...f.shape.config, limits: { onceKeepSeconds: 1001 } }, 1, 'x').then(
        (r) => {
          got = r.status;
        },
        () => {
          got = 0;
        },
      );
      while (got < 0) await f.world.run(f.world.now() + duration.ms(5));
      if (got === 200) took.push(duration.toMs(f.world.now() - begun));
      else out(`seed ${seed}: ${got}`);
    }
    row(shape, Math.round(mean(took)), Math.max(...took));
  }
};

const w100 = (f: Fleet): number => f.world.rand.int(100);
