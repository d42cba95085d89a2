// Every order of events in small groups (§3.3, §6.5): members lost with and without their disks, returns, replacements
// at another address, one that is retired, spares, leaders lost; against the decisions of repair. In each state that is
// reached there is a quorum, and an acknowledged record is met by every majority that can answer.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { repair, type Condition, type ReplicaGroup, type RepairStep } from '@thornsail/consensus';

/**
 * `void`: down, and its disk is lost; `dead`: replaced at another address; `gone`: another identity is at its address.
 * `off` and `void` become overdue (`late`) with time, and a new leader counts anew.
 */
type State = 'up' | 'off' | 'void' | 'dead' | 'gone';
type Identity = {
  state: State;
  late: boolean;
  holds: boolean;
  member: boolean;
  draining: boolean;
  /** Whether its machine counts as lost: while it is down, and from its return until repair has nothing to do. */
  lost: 'no' | 'down' | 'back';
};
type World = { all: Identity[]; settled: boolean; written: boolean; losses: number; retired: boolean };
type Kind = 'stores' | 'coordinators';
type Case = { kind: Kind; size: number; tolerates: number; spares: number; losses: number };

const majority = (n: number): number => Math.floor(n / 2) + 1;
const fresh = (over: Partial<Identity> = {}): Identity => ({
  state: 'up',
  late: false,
  holds: false,
  member: false,
  draining: false,
  lost: 'no',
  ...over,
});
const members = (w: World): Identity[] => w.all.filter((x) => x.member);
const upMembers = (w: World): Identity[] => members(w).filter((x) => x.state === 'up');
const conditionOf = (x: Identity): Condition => {
  if (x.state === 'up') return x.draining ? 'leaving' : 'serving';
  if (x.state === 'gone') return 'gone';
  return x.state === 'dead' || x.late ? 'overdue' : 'silent';
};
const changed = (w: World, at: number, over: Partial<Identity>): World => ({
  ...w,
  all: w.all.map((x, i) => (i === at ? { ...x, ...over } : x)),
});
/** All ways to choose so many of a list. */
const choose = <T>(list: T[], count: number): T[][] => {
  if (count <= 0) return [[]];
  return list.flatMap((x, i) => choose(list.slice(i + 1), count - 1).map((rest) => [x, ...rest]));
};

/** The steps that repair may take, whichever of several equal members or spares it finds first. */
const stepsOf = (c: Case, w: World): RepairStep[] => {
  const indexes = w.all.map((_, i) => i);
  const inGroup = indexes.filter((i) => w.all[i]!.member);
  const spares = indexes.filter((i) => !w.all[i]!.member && w.all[i]!.state === 'up' && !w.all[i]!.draining);
  const out = new Map<string, RepairStep>();
  for (const first of [...inGroup, -1])
    for (const spare of spares.length ? spares : [-1]) {
      const order = [first, ...inGroup.filter((i) => i !== first)].filter((i) => i >= 0);
      const group: ReplicaGroup = {
        members: order.map((i) => ({ id: String(i), condition: conditionOf(w.all[i]!) })),
        spares: [spare, ...spares.filter((i) => i !== spare)].filter((i) => i >= 0).map(String),
        size: c.size,
        settled: w.settled,
      };
      const step = repair.next(group);
      if (step) out.set(`${step.change} ${step.id}`, step);
    }
  return [...out.values()];
};
/** Everything decided is brought onto a majority of the members that answer: every smallest way to do so. */
const sweeps = (w: World): World[] => {
  const need = majority(members(w).length);
  const up = w.all.map((x, i) => ({ x, i })).filter(({ x }) => x.member && x.state === 'up');
  if (up.length < need) return [];
  if (!w.written) return [{ ...w, settled: true }];
  const holding = up.filter(({ x }) => x.holds).length;
  const lacking = up.filter(({ x }) => !x.holds);
  return choose(lacking, need - holding).map((chosen) => ({
    ...w,
    settled: true,
    all: w.all.map((x, i) => (chosen.some((y) => y.i === i) ? { ...x, holds: true } : x)),
  }));
};
const applied = (c: Case, w: World, step: RepairStep): World[] => {
  const at = Number(step.id);
  const over = { member: step.change === 'add', holds: step.change === 'add' ? false : w.all[at]!.holds };
  const next = { ...changed(w, at, over), settled: false };
  // A version of the coordinators' state holds all before it, and is done once a majority of the new members has it.
  return c.kind === 'coordinators' ? sweeps(next) : [next];
};
const writes = (w: World): World[] => {
  if (w.written) return [];
  const up = w.all.map((x, i) => ({ x, i })).filter(({ x }) => x.member && x.state === 'up');
  return choose(up, majority(members(w).length))
    .filter((chosen) => chosen.length > 0)
    .map((chosen) => ({
      ...w,
      written: true,
      all: w.all.map((x, i) => (chosen.some((y) => y.i === i) ? { ...x, holds: true } : x)),
    }));
};
const losses = (c: Case, w: World): World[] => {
  const lost = w.all.filter((x) => x.lost !== 'no').length;
  if (lost >= c.tolerates || w.losses >= c.losses) return [];
  return w.all.flatMap((x, i) =>
    x.state !== 'up'
      ? []
      : (['off', 'void'] as const).map((state) => ({
          ...changed(w, i, { state, lost: 'down', holds: state === 'off' && x.holds }),
          losses: w.losses + 1,
        })),
  );
};
const returns = (w: World): World[] =>
  w.all.flatMap((x, i): World[] => {
    if (x.state !== 'off' && x.state !== 'void') return [];
    const newcomer = fresh({ lost: 'back' });
    const without = (state: State): World => {
      const next = changed(w, i, { state, late: false, lost: 'no', holds: false });
      return { ...next, all: [...next.all, newcomer] };
    };
    const elsewhere = without('dead');
    if (x.state === 'void') return [without('gone'), elsewhere];
    // One that was taken out meanwhile begins empty.
    return [changed(w, i, { state: 'up', late: false, lost: 'back', holds: x.holds && x.member }), elsewhere];
  });
const times = (w: World): World[] => [
  ...w.all.flatMap((x, i) =>
    (x.state === 'off' || x.state === 'void') && !x.late ? [changed(w, i, { late: true })] : [],
  ),
  // A new leader counts anew.
  ...(w.all.some((x) => x.late) ? [{ ...w, all: w.all.map((x) => ({ ...x, late: false })) }] : []),
];
const retirements = (c: Case, w: World): World[] => {
  const asked = w.all.flatMap((x, i) => {
    const staying = w.all.filter((y) => y !== x && y.state === 'up' && !y.draining).length;
    const may = !w.retired && x.state === 'up' && x.member && staying >= 2 * c.tolerates + 1;
    return may && c.kind === 'stores' ? [{ ...changed(w, i, { draining: true }), retired: true }] : [];
  });
  // Told to be complete: its disk may go, and nobody counts that as a loss.
  const whole = w.settled && stepsOf(c, w).length === 0;
  const done = w.all.flatMap((x, i) =>
    x.draining && !x.member && whole && x.state === 'up' ? [{ ...w, all: w.all.filter((_, j) => j !== i) }] : [],
  );
  return [...asked, ...done];
};
const events = (c: Case, w: World): World[] => {
  const steps = stepsOf(c, w);
  const quiet = w.settled && steps.length === 0;
  const back = w.all.some((x) => x.lost === 'back');
  return [
    ...steps.flatMap((s) => applied(c, w, s)),
    ...(w.settled ? [] : sweeps(w)),
    ...writes(w),
    ...losses(c, w),
    ...returns(w),
    ...times(w),
    ...retirements(c, w),
    ...(quiet && back
      ? [{ ...w, all: w.all.map((x) => (x.lost === 'back' ? { ...x, lost: 'no' as const } : x)) }]
      : []),
  ];
};
/** What is wrong with a state, if anything. */
const fault = (c: Case, w: World): string | undefined => {
  const need = majority(members(w).length);
  const up = upMembers(w);
  if (up.length < need) return 'no quorum';
  if (w.written && up.filter((x) => !x.holds).length >= need) return 'a majority without the acknowledged record';
  const allBack = w.all.every((x) => x.state === 'up' || x.state === 'gone' || x.state === 'dead');
  if (!allBack || !w.settled || stepsOf(c, w).length > 0) return undefined;
  const able = w.all.filter((x) => x.state === 'up' && !x.draining).length;
  const serving = up.filter((x) => !x.draining).length;
  if (serving < Math.min(c.size, able)) return 'repair ended with a group that is not full';
  return up.length < members(w).length ? 'repair ended with a lost member in the group' : undefined;
};
/** Majorities of a group and of the next one have a member in common, whichever they are. */
const overlaps = (a: Set<number>, b: Set<number>): boolean =>
  majority(a.size) + majority(b.size) > new Set([...a, ...b]).size;
const keyOf = (w: World): string => {
  const one = (x: Identity): string =>
    `${x.state}${Number(x.late)}${Number(x.holds)}${Number(x.member)}${Number(x.draining)}${x.lost}`;
  // What is neither up nor a member has no part in anything any more.
  const all = w.all.filter((x) => x.member || (x.state !== 'gone' && x.state !== 'dead'));
  return `${all.map(one).sort().join()}|${w.settled}${w.written}${w.losses}${w.retired}`;
};
const textOf = (w: World): string => {
  const one = (x: Identity): string =>
    [
      x.state,
      ...(['late', 'holds', 'member', 'draining'] as const).filter((name) => x[name]),
      ...(x.lost === 'no' ? [] : [x.lost]),
    ].join(' ');
  return `[${w.all.map(one).join(', ')}]${w.settled ? '' : ' unsettled'}`;
};
const walk = (c: Case): { states: number; faults: string[] } => {
  const first: World = {
    all: [
      ...Array.from({ length: c.size }, () => fresh({ member: true })),
      ...Array.from({ length: c.spares }, () => fresh()),
    ],
    settled: true,
    written: false,
    losses: 0,
    retired: false,
  };
  const seen = new Set([keyOf(first)]);
  const open = [first];
  const faults = new Map<string, string>();
  const before = new Map<World, World>();
  const path = (w: World): string => {
    const all: string[] = [];
    for (let x: World | undefined = w; x; x = before.get(x)) all.unshift(textOf(x));
    return all.join('\n  ');
  };
  for (let w = open.pop(); w; w = open.pop()) {
    const wrong = fault(c, w);
    if (wrong) {
      if (!faults.has(wrong)) faults.set(wrong, `${wrong}:\n  ${path(w)}`);
      // What follows from a broken state tells nothing more.
      continue;
    }
    for (const next of events(c, w)) {
      const key = keyOf(next);
      if (seen.has(key)) continue;
      seen.add(key);
      before.set(next, w);
      open.push(next);
    }
  }
  return { states: seen.size, faults: [...faults.values()] };
};

const cases: Case[] = [
  { kind: 'stores', size: 3, tolerates: 1, spares: 0, losses: 4 },
  { kind: 'stores', size: 3, tolerates: 1, spares: 1, losses: 4 },
  { kind: 'stores', size: 5, tolerates: 2, spares: 1, losses: 3 },
  { kind: 'coordinators', size: 3, tolerates: 1, spares: 1, losses: 4 },
  { kind: 'coordinators', size: 5, tolerates: 1, spares: 0, losses: 4 },
  { kind: 'coordinators', size: 5, tolerates: 2, spares: 1, losses: 4 },
];
for (const c of cases)
  test(`${c.kind}: ${c.size} members, ${c.tolerates} lost at once, ${c.spares} spares: every order of events`, () => {
    const { states, faults } = walk(c);
    assert.equal(faults, []);
    assert.ok(states > 100, `only ${states} states were reached`);
  });

const group = (conditions: Condition[], over: Partial<ReplicaGroup> = {}): ReplicaGroup => ({
  members: conditions.map((condition, i) => ({ id: `m${i}`, condition })),
  spares: ['new'],
  size: conditions.length,
  settled: true,
  ...over,
});
const nextOf = (g: ReplicaGroup): string => {
  const step = repair.next(g);
  return step ? `${step.change} ${step.id}` : 'nothing';
};
test('one that is gone is removed before anyone joins, and whoever else is silent', () => {
  assert.is(nextOf(group(['serving', 'gone', 'serving'])), 'remove m1');
  assert.is(nextOf(group(['serving', 'gone', 'serving'], { spares: [] })), 'remove m1');
  assert.is(nextOf(group(['silent', 'gone', 'serving', 'gone', 'serving'])), 'remove m1');
  assert.is(nextOf(group(['silent', 'serving', 'gone', 'serving'], { size: 5 })), 'remove m2');
});
test('two lost together are both replaced, one after the other', () => {
  assert.is(nextOf(group(['overdue', 'overdue', 'serving', 'serving', 'serving'])), 'remove m0');
  assert.is(nextOf(group(['overdue', 'serving', 'serving', 'serving'], { size: 5 })), 'remove m0');
  assert.is(nextOf(group(['serving', 'serving', 'serving'], { size: 5 })), 'add new');
});
test('one that may come back stays while there is no spare, and while its removal could not be completed', () => {
  assert.is(nextOf(group(['silent', 'serving', 'serving'])), 'nothing');
  assert.is(nextOf(group(['overdue', 'serving', 'serving'], { spares: [] })), 'nothing');
  assert.is(nextOf(group(['overdue', 'silent', 'serving'])), 'nothing');
});
test('one that leaves stays until another one is there', () => {
  assert.is(nextOf(group(['leaving', 'serving', 'serving'])), 'add new');
  assert.is(nextOf(group(['leaving', 'serving', 'serving', 'serving'], { size: 3 })), 'remove m0');
  assert.is(nextOf(group(['leaving', 'silent', 'serving'])), 'nothing');
  assert.is(nextOf(group(['leaving', 'serving', 'serving'], { size: 5, spares: [] })), 'nothing');
});
test('nothing is changed before the last change is complete, and no majority is changed by two', () => {
  assert.is(nextOf(group(['serving', 'gone', 'serving'], { settled: false })), 'nothing');
  for (const size of [2, 3, 4, 5, 6, 7]) {
    const before = new Set(Array.from({ length: size }, (_, i) => i));
    assert.ok(overlaps(before, new Set([...before, size])));
    assert.not.ok(size % 2 === 0 && overlaps(before, new Set([...before, size, size + 1, size + 2])));
  }
});
test('a group of two, one of them gone, is filled first', () => {
  assert.is(nextOf(group(['gone', 'serving'], { size: 3 })), 'add new');
  assert.is(nextOf(group(['gone', 'serving'], { size: 3, spares: [] })), 'nothing');
});
test.run();
