// How any node reaches the core (§3.3): the head it knew last, then where it is sent, then the others in turn.
import { fault, time, us, type Lens, type Place, type Us } from '@thornsail/runtime';
import type { Pipe } from '@thornsail/rpc';
import type { CoreAsk, CoreResult } from './core.js';

export type CoreClient = { ask: <T>(a: CoreAsk, timeLeft?: Us) => Promise<{ seq: number; value: T }> };

/** A tower that does not answer in this time may be gone; asking another costs nothing, asking twice has one effect. */
const roundLimit = us.ms(500);

export const coreClient = {
  open: (o: { lens: Lens; pipe: Pipe; towers: () => Place[] }): CoreClient => {
    const { lens, pipe } = o;
    let head: Place | undefined;
    let extra: Place[] = [];
    return {
      /** Every operation may be repeated safely, so an unknown outcome is simply asked again until time is out. */
      ask: async <T>(a: CoreAsk, timeLeft: Us = us.s(4)) => {
        const end = lens.clock.now() + timeLeft;
        let i = 0;
        let last: unknown;
        while (lens.clock.now() < end) {
          const all = [...new Set([...o.towers(), ...extra])];
          const to = head ?? all[i++ % Math.max(1, all.length)];
          if (!to) {
            await time.sleep(lens.clock, us.ms(100));
            continue;
          }
          try {
            const r = await pipe.ask<CoreResult>(
              to,
              'core',
              a,
              Math.min(roundLimit, end - lens.clock.now() + us.ms(1)),
            );
            if (r.ok) {
              head = to;
              return { seq: r.seq, value: r.value as T };
            }
            extra = r.towers;
            head = r.head && r.head !== to ? r.head : undefined;
            last = fault.make({ step: `core.${a.op}`, sibling: to }, r.why);
          } catch (e) {
            last = e;
            head = undefined;
          }
          if (!head) await time.sleep(lens.clock, us.ms(40 + lens.rand.int(60)));
        }
        throw fault.make({ step: `core.${a.op}`, code: 'no-majority' }, 'the core gave no agreed result in time', last);
      },
    };
  },
};
