// The leader's duties to the two groups (§3.3, §6.5): it forms the keeper group, and takes one step of repair after
// another, each as soon as the one before is agreed on.
import type { Clock, Us } from '@thornsail/runtime';
import { groups } from './groups.js';
import { order, type NodeEntry, type Ordered } from './order.js';
import { presence, sparesOf, spreadOver } from './presence.js';
import { repair, type ReplicaGroup, type RepairStep } from './repair.js';
import type { Marked, Member, Views } from './views.js';

export type GroupSizes = { keepers: number; towers: number };
export type GroupDuties = {
  /** Takes the steps that are due, until there is none; a call while one runs makes it look once more. */
  act: () => Promise<void>;
  /** Whether the keeper group's last change is complete and no further one is due (§6.5). */
  keepersRepaired: (s: Ordered) => boolean;
};
const memberOf = (n: NodeEntry): Member => ({ id: n.id, at: n.place });

export const groupDuties = {
  open: (o: {
    clock: Clock;
    views: Views<Ordered>;
    sizes: GroupSizes;
    replaceAfter: Us;
    log: (text: string) => void;
  }): GroupDuties => {
    const { views, sizes, log } = o;
    const present = presence.open(o);
    const groupOf = (s: Ordered, members: Member[], spares: NodeEntry[], size: number): ReplicaGroup => ({
      members: members.map((m) => ({ id: m.id, condition: present.condition(s, m, spares, members.length) })),
      spares: spares.map((n) => n.id),
      size,
      settled: true,
    });
    const keeperGroup = (s: Ordered): ReplicaGroup => ({
      ...groupOf(s, s.keepers.members, sparesOf(s, 'keeper', s.keepers.members), sizes.keepers),
      settled: s.keepers.mark > 0 && s.keepers.swept === s.keepers.mark,
    });
    const towerGroup = (s: Ordered, members: Member[]): ReplicaGroup =>
      groupOf(s, members, sparesOf(s, 'tower', members), sizes.towers);

    const formKeepers = async (v: Marked<Ordered>): Promise<boolean> => {
      const live = order.live(v.state, 'keeper').filter((n) => n.standing === 'live');
      if (v.state.keepers.mark !== 0 || live.length < sizes.keepers) return false;
      const first = spreadOver(live, []).slice(0, sizes.keepers).map(memberOf);
      await views.propose((s) => groups.form(s, first));
      return true;
    };
    const tell = (role: string, s: Ordered, step: RepairStep): void => {
      const name = s.roster[step.id]?.name ?? '';
      log(`${role} ${name} (${step.id}): ${step.change} in its group, ${step.why}.`);
    };
    const repairKeepers = async (v: Marked<Ordered>): Promise<boolean> => {
      const step = repair.next(keeperGroup(v.state));
      if (!step) return false;
      tell('keeper', v.state, step);
      await views.propose((s) => {
        // Judged again on the state that it changes.
        const now = repair.next(keeperGroup(s));
        if (now?.id !== step.id || now.change !== step.change) return { state: s, result: false };
        return step.change === 'remove'
          ? groups.change(s, { remove: step.id })
          : groups.change(s, { add: memberOf(s.roster[step.id]!) });
      });
      return true;
    };
    const repairTowers = async (v: Marked<Ordered>): Promise<boolean> => {
      const step = repair.next(towerGroup(v.state, v.members));
      if (!step) return false;
      tell('tower', v.state, step);
      await views.propose((s, members) => {
        const now = repair.next(towerGroup(s, members));
        if (now?.id !== step.id || now.change !== step.change) return { state: s, result: false };
        const next =
          step.change === 'remove'
            ? members.filter((m) => m.id !== step.id)
            : [...members, memberOf(s.roster[step.id]!)];
        return { state: s, members: next, result: true };
      });
      return true;
    };
    /** One step for each group; false if nothing was due. */
    const once = async (): Promise<boolean> => {
      const v = views.done();
      if (views.standing() !== 'lead' || !v) return false;
      const [formed, keepers, towers] = await Promise.all([formKeepers(v), repairKeepers(v), repairTowers(v)]);
      return formed || keepers || towers;
    };
    let running: Promise<void> | undefined;
    let again = false;
    const run = async (): Promise<void> => {
      do {
        again = false;
        while (await once());
      } while (again);
    };
    return {
      keepersRepaired: (s) => {
        const group = keeperGroup(s);
        return group.settled && repair.next(group) === undefined;
      },
      act: () => {
        again = true;
        running ??= run().finally(() => {
          running = undefined;
        });
        return running;
      },
    };
  },
};
