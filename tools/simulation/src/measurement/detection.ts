// Failure detection: how fast, against how often it is wrong (§3.2).
import { failureDetector } from '@thornsail/failure-detector';
import { rpc } from '@thornsail/rpc';
import { type Microseconds, duration } from '@thornsail/runtime';
import { world } from '../world/index.js';
import { head, mean, out, row } from './table.js';

export const detection = async (): Promise<void> => {
  out('\n### Failure detection against false suspicion (simulated; 20 nodes, 10 seeds, 40 freezes each)\n');
  head(
    'silence limit',
    'watchers',
    'killed node suspected by two after, mean ms',
    'worst ms',
    'frozen nodes wrongly suspected by two, of 400',
  );
  for (const silent of [300, 600, 1000, 2000])
    for (const watchers of [2, 3]) {
      const took: number[] = [];
      let wrong = 0;
      for (let seed = 1; seed <= 10; seed++) {
        const w = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
        const all = Array.from({ length: 20 }, (_, i) => ({
          id: `n${i}`,
          address: `127.0.0.${i + 1}:1`,
          incarnation: 1,
          host: w.host(`127.0.0.${i + 1}`, `z${i % 3}`),
        }));
        const accused = new Map<string, Map<string, Microseconds>>();
        const two = new Set<string>();
        for (const x of all)
          void rpc.open(w.runtime(x.host), x.address).then((p) =>
            failureDetector.open({
              runtime: w.runtime(x.host),
              rpc: p,
              self: () => x,
              members: () => all,
              timing: { suspectAfter: duration.ms(silent), watchers },
              onSuspected: (list) => {
                for (const s of list) {
                  const by = accused.get(s.id) ?? new Map<string, Microseconds>();
                  accused.set(s.id, by.set(x.id, w.now()));
                  if ([...by.values()].filter((t) => w.now() - t < duration.ms(1500)).length >= 2) two.add(s.id);
                }
              },
            }),
          );
        await w.run(duration.s(2));
        for (let i = 0; i < 40; i++) {
          const x = all[w.rand.int(20)]!;
          two.clear();
          accused.clear();
          w.freeze(x.host);
          await w.run(w.now() + duration.ms(200 + w.rand.int(700)));
          w.thaw(x.host);
          await w.run(w.now() + duration.s(1));
          if (two.has(x.id)) wrong += 1;
        }
        const victim = all[w.rand.int(20)]!;
        two.clear();
        accused.clear();
        const begun = w.now();
        w.kill(victim.host, 'power');
        while (!two.has(victim.id) && w.now() - begun < duration.s(10)) await w.run(w.now() + duration.ms(10));
        took.push(duration.toMs(w.now() - begun));
      }
      row(`${silent} ms`, watchers, Math.round(mean(took)), Math.max(...took), wrong);
    }
};
