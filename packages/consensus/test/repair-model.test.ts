// Explores every order of events in small groups against the repair decision (§3.3, §6.5): members lost with and
// without their disks, returns, replacements at another address, a retirement, spares, and leader changes. In each
// reachable state there must be a quorum, and every majority of members that are up must include the acknowledged
// record.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { repair, type Condition, type ReplicaGroup, type RepairStep } from '@thornsail/consensus';

/**
 * `down`: down with its disk intact; `wiped`: down, and its disk is lost; `moved`: its machine runs a new identity at
 * another address; `replaced`: another identity has its address. `down` and `wiped` become `overdue` with time; each
 * new leader counts from the beginning.
 */
type State = 'up' | 'down' | 'wiped' | 'moved' | 'replaced';
type Identity = {
  state: State;
  overdue: boolean;
  hasRecord: boolean;
  member: boolean;
  draining: boolean;
  /** Whether its machine counts as lost: while it is down, and from its return until no repair is due. */
  lost: 'no' | 'down' | 'back';
};
type Model = { identities: Identity[]; settled: boolean; written: boolean; losses: number; retired: boolean };
type Kind = 'stores' | 'coordinators';
type Setup = { kind: Kind; size: number; tolerates: number; spares: number; losses: number };

const majority = (n: number): number => Math.floor(n / 2) + 1;
const newIdentity = (overrides: Partial<Identity> = {}): Identity => ({
  state: 'up',
  overdue: false,
  hasRecord: false,
  member: false,
  draining: false,
  lost: 'no',
  ...overrides,
});
const members = (model: Model): Identity[] => model.identities.filter((identity) => identity.member);
const upMembers = (model: Model): Identity[] => members(model).filter((identity) => identity.state === 'up');
const conditionOf = (identity: Identity): Condition => {
  if (identity.state === 'up') return identity.draining ? 'leaving' : 'serving';
  if (identity.state === 'replaced') return 'replaced';
  return identity.state === 'moved' || identity.overdue ? 'overdue' : 'silent';
};
/** The model with a change of the identity at an index. */
const withChange = (model: Model, index: number, change: Partial<Identity>): Model => ({
  ...model,
  identities: model.identities.map((identity, i) => (i === index ? { ...identity, ...change } : identity)),
});
/** All combinations of `count` elements of a list. */
const combinations = <T>(list: T[], count: number): T[][] => {
  if (count <= 0) return [[]];
  return list.flatMap((first, i) => combinations(list.slice(i + 1), count - 1).map((rest) => [first, ...rest]));
};

/** The possible repair steps, with the members and spares in each order, so that any of several equal ones is first. */
const stepsOf = (setup: Setup, model: Model): RepairStep[] => {
  const indexes = model.identities.map((_, i) => i);
  const inGroup = indexes.filter((i) => model.identities[i]!.member);
  const spares = indexes.filter(
    (i) => !model.identities[i]!.member && model.identities[i]!.state === 'up' && !model.identities[i]!.draining,
  );
  const steps = new Map<string, RepairStep>();
  for (const first of [...inGroup, -1])
    for (const spare of spares.length ? spares : [-1]) {
      const order = [first, ...inGroup.filter((i) => i !== first)].filter((i) => i >= 0);
      const group: ReplicaGroup = {
        members: order.map((i) => ({ id: String(i), condition: conditionOf(model.identities[i]!) })),
        spares: [spare, ...spares.filter((i) => i !== spare)].filter((i) => i >= 0).map(String),
        size: setup.size,
        settled: model.settled,
      };
      const step = repair.next(group);
      if (step) steps.set(`${step.change} ${step.id}`, step);
    }
  return [...steps.values()];
};
/** Copies everything decided to a majority of the members that are up, in each way that needs the fewest copies. */
const sweeps = (model: Model): Model[] => {
  const quorum = majority(members(model).length);
  const up = model.identities
    .map((identity, i) => ({ identity, i }))
    .filter(({ identity }) => identity.member && identity.state === 'up');
  if (up.length < quorum) return [];
  if (!model.written) return [{ ...model, settled: true }];
  const holding = up.filter(({ identity }) => identity.hasRecord).length;
  const lacking = up.filter(({ identity }) => !identity.hasRecord);
  return combinations(lacking, quorum - holding).map((chosen) => ({
    ...model,
    settled: true,
    identities: model.identities.map((identity, i) =>
      chosen.some((copy) => copy.i === i) ? { ...identity, hasRecord: true } : identity,
    ),
  }));
};
const applied = (setup: Setup, model: Model, step: RepairStep): Model[] => {
  const index = Number(step.id);
  const change = {
    member: step.change === 'add',
    hasRecord: step.change === 'add' ? false : model.identities[index]!.hasRecord,
  };
  const next = { ...withChange(model, index, change), settled: false };
  // A version of the coordinators' state contains all earlier ones, so a change is complete as soon as a majority of
  // the new members has its version.
  return setup.kind === 'coordinators' ? sweeps(next) : [next];
};
/** The acknowledged record is written once, to any majority of members that are up. */
const writes = (model: Model): Model[] => {
  if (model.written) return [];
  const up = model.identities
    .map((identity, i) => ({ identity, i }))
    .filter(({ identity }) => identity.member && identity.state === 'up');
  return combinations(up, majority(members(model).length))
    .filter((chosen) => chosen.length > 0)
    .map((chosen) => ({
      ...model,
      written: true,
      identities: model.identities.map((identity, i) =>
        chosen.some((copy) => copy.i === i) ? { ...identity, hasRecord: true } : identity,
      ),
    }));
};
const losses = (setup: Setup, model: Model): Model[] => {
  const lost = model.identities.filter((identity) => identity.lost !== 'no').length;
  if (lost >= setup.tolerates || model.losses >= setup.losses) return [];
  return model.identities.flatMap((identity, i) =>
    identity.state !== 'up'
      ? []
      : (['down', 'wiped'] as const).map((state) => ({
          ...withChange(model, i, { state, lost: 'down', hasRecord: state === 'down' && identity.hasRecord }),
          losses: model.losses + 1,
        })),
  );
};
const returns = (model: Model): Model[] =>
  model.identities.flatMap((identity, i): Model[] => {
    if (identity.state !== 'down' && identity.state !== 'wiped') return [];
    const successor = newIdentity({ lost: 'back' });
    const withSuccessor = (state: State): Model => {
      const next = withChange(model, i, { state, overdue: false, lost: 'no', hasRecord: false });
      return { ...next, identities: [...next.identities, successor] };
    };
    const moved = withSuccessor('moved');
    if (identity.state === 'wiped') return [withSuccessor('replaced'), moved];
    // A member that was removed meanwhile returns without the record.
    return [
      withChange(model, i, {
        state: 'up',
        overdue: false,
        lost: 'back',
        hasRecord: identity.hasRecord && identity.member,
      }),
      moved,
    ];
  });
const delays = (model: Model): Model[] => [
  ...model.identities.flatMap((identity, i) =>
    (identity.state === 'down' || identity.state === 'wiped') && !identity.overdue
      ? [withChange(model, i, { overdue: true })]
      : [],
  ),
  // A new leader counts from the beginning.
  ...(model.identities.some((identity) => identity.overdue)
    ? [{ ...model, identities: model.identities.map((identity) => ({ ...identity, overdue: false })) }]
    : []),
];
const retirements = (setup: Setup, model: Model): Model[] => {
  const started = model.identities.flatMap((identity, i) => {
    const remaining = model.identities.filter(
      (other) => other !== identity && other.state === 'up' && !other.draining,
    ).length;
    const isAllowed =
      !model.retired && identity.state === 'up' && identity.member && remaining >= 2 * setup.tolerates + 1;
    return isAllowed && setup.kind === 'stores' ? [{ ...withChange(model, i, { draining: true }), retired: true }] : [];
  });
  // Once a drain is reported as complete, the machine's disk may be removed, which does not count as a loss.
  const isRepaired = model.settled && stepsOf(setup, model).length === 0;
  const completed = model.identities.flatMap((identity, i) =>
    identity.draining && !identity.member && isRepaired && identity.state === 'up'
      ? [{ ...model, identities: model.identities.filter((_, j) => j !== i) }]
      : [],
  );
  return [...started, ...completed];
};
const successors = (setup: Setup, model: Model): Model[] => {
  const steps = stepsOf(setup, model);
  const isRepaired = model.settled && steps.length === 0;
  const hasReturned = model.identities.some((identity) => identity.lost === 'back');
  return [
    ...steps.flatMap((step) => applied(setup, model, step)),
    ...(model.settled ? [] : sweeps(model)),
    ...writes(model),
    ...losses(setup, model),
    ...returns(model),
    ...delays(model),
    ...retirements(setup, model),
    ...(isRepaired && hasReturned
      ? [
          {
            ...model,
            identities: model.identities.map((identity) =>
              identity.lost === 'back' ? { ...identity, lost: 'no' as const } : identity,
            ),
          },
        ]
      : []),
  ];
};
/** The invariant that a state violates, if any. */
const violationOf = (setup: Setup, model: Model): string | undefined => {
  const quorum = majority(members(model).length);
  const up = upMembers(model);
  if (up.length < quorum) return 'no quorum';
  if (model.written && up.filter((identity) => !identity.hasRecord).length >= quorum)
    return 'a majority without the acknowledged record';
  const allBack = model.identities.every(
    (identity) => identity.state === 'up' || identity.state === 'replaced' || identity.state === 'moved',
  );
  if (!allBack || !model.settled || stepsOf(setup, model).length > 0) return undefined;
  const available = model.identities.filter((identity) => identity.state === 'up' && !identity.draining).length;
  const serving = up.filter((identity) => !identity.draining).length;
  if (serving < Math.min(setup.size, available)) return 'repair ended with a group below its intended size';
  return up.length < members(model).length ? 'repair ended with a lost member in the group' : undefined;
};
/** Whether each majority of one group has a member in common with each majority of the other. */
const overlaps = (a: Set<number>, b: Set<number>): boolean =>
  majority(a.size) + majority(b.size) > new Set([...a, ...b]).size;
const keyOf = (model: Model): string => {
  const identityKey = ({ state, overdue, hasRecord, member, draining, lost }: Identity): string =>
    `${state}${Number(overdue)}${Number(hasRecord)}${Number(member)}${Number(draining)}${lost}`;
  // A replaced or moved identity that is no member has no effect any more.
  const relevant = model.identities.filter(
    (identity) => identity.member || (identity.state !== 'replaced' && identity.state !== 'moved'),
  );
  return `${relevant.map(identityKey).sort().join()}|${model.settled}${model.written}${model.losses}${model.retired}`;
};
const textOf = (model: Model): string => {
  const identityText = (identity: Identity): string =>
    [
      identity.state,
      ...(['overdue', 'hasRecord', 'member', 'draining'] as const).filter((name) => identity[name]),
      ...(identity.lost === 'no' ? [] : [identity.lost]),
    ].join(' ');
  return `[${model.identities.map(identityText).join(', ')}]${model.settled ? '' : ' unsettled'}`;
};
/** Explores all reachable states; returns their number and one path to each kind of violation. */
const explore = (setup: Setup): { states: number; violations: string[] } => {
  const first: Model = {
    identities: [
      ...Array.from({ length: setup.size }, () => newIdentity({ member: true })),
      ...Array.from({ length: setup.spares }, () => newIdentity()),
    ],
    settled: true,
    written: false,
    losses: 0,
    retired: false,
  };
  const seen = new Set([keyOf(first)]);
  const pending = [first];
  const violations = new Map<string, string>();
  const predecessors = new Map<Model, Model>();
  const path = (last: Model): string => {
    const steps: string[] = [];
    for (let model: Model | undefined = last; model; model = predecessors.get(model)) steps.unshift(textOf(model));
    return steps.join('\n  ');
  };
  for (let model = pending.pop(); model; model = pending.pop()) {
    const violation = violationOf(setup, model);
    if (violation) {
      if (!violations.has(violation)) violations.set(violation, `${violation}:\n  ${path(model)}`);
      // The successors of an invalid state are not explored.
      continue;
    }
    for (const next of successors(setup, model)) {
      const key = keyOf(next);
      if (seen.has(key)) continue;
      seen.add(key);
      predecessors.set(next, model);
      pending.push(next);
    }
  }
  return { states: seen.size, violations: [...violations.values()] };
};

const setups: Setup[] = [
  { kind: 'stores', size: 3, tolerates: 1, spares: 0, losses: 4 },
  { kind: 'stores', size: 3, tolerates: 1, spares: 1, losses: 4 },
  { kind: 'stores', size: 5, tolerates: 2, spares: 1, losses: 3 },
  { kind: 'coordinators', size: 3, tolerates: 1, spares: 1, losses: 4 },
  { kind: 'coordinators', size: 5, tolerates: 1, spares: 0, losses: 4 },
  { kind: 'coordinators', size: 5, tolerates: 2, spares: 1, losses: 4 },
];
for (const setup of setups)
  test(`${setup.kind}: ${setup.size} members, ${setup.tolerates} lost at once, ${setup.spares} spares`, () => {
    const { states, violations } = explore(setup);
    assert.equal(violations, []);
    assert.ok(states > 100, `only ${states} states were reached`);
  });

const groupOf = (conditions: Condition[], overrides: Partial<ReplicaGroup> = {}): ReplicaGroup => ({
  members: conditions.map((condition, i) => ({ id: `m${i}`, condition })),
  spares: ['new'],
  size: conditions.length,
  settled: true,
  ...overrides,
});
const nextOf = (group: ReplicaGroup): string => {
  const step = repair.next(group);
  return step ? `${step.change} ${step.id}` : 'nothing';
};
test('a replaced member is removed before a spare joins, whichever other members are silent', () => {
  assert.is(nextOf(groupOf(['serving', 'replaced', 'serving'])), 'remove m1');
  assert.is(nextOf(groupOf(['serving', 'replaced', 'serving'], { spares: [] })), 'remove m1');
  assert.is(nextOf(groupOf(['silent', 'replaced', 'serving', 'replaced', 'serving'])), 'remove m1');
  assert.is(nextOf(groupOf(['silent', 'serving', 'replaced', 'serving'], { size: 5 })), 'remove m2');
});
test('two members lost at the same time are replaced one after the other', () => {
  assert.is(nextOf(groupOf(['overdue', 'overdue', 'serving', 'serving', 'serving'])), 'remove m0');
  assert.is(nextOf(groupOf(['overdue', 'serving', 'serving', 'serving'], { size: 5 })), 'remove m0');
  assert.is(nextOf(groupOf(['serving', 'serving', 'serving'], { size: 5 })), 'add new');
});
test('a member that may come back stays if there is no spare or its removal could not be completed', () => {
  assert.is(nextOf(groupOf(['silent', 'serving', 'serving'])), 'nothing');
  assert.is(nextOf(groupOf(['overdue', 'serving', 'serving'], { spares: [] })), 'nothing');
  assert.is(nextOf(groupOf(['overdue', 'silent', 'serving'])), 'nothing');
});
test('a leaving member stays until a spare has joined', () => {
  assert.is(nextOf(groupOf(['leaving', 'serving', 'serving'])), 'add new');
  assert.is(nextOf(groupOf(['leaving', 'serving', 'serving', 'serving'], { size: 3 })), 'remove m0');
  assert.is(nextOf(groupOf(['leaving', 'silent', 'serving'])), 'nothing');
  assert.is(nextOf(groupOf(['leaving', 'serving', 'serving'], { size: 5, spares: [] })), 'nothing');
});
test('no step before the last change is complete; majorities of groups two members apart may not overlap', () => {
  assert.is(nextOf(groupOf(['serving', 'replaced', 'serving'], { settled: false })), 'nothing');
  for (const size of [2, 3, 4, 5, 6, 7]) {
    const before = new Set(Array.from({ length: size }, (_, i) => i));
    assert.ok(overlaps(before, new Set([...before, size])));
    assert.not.ok(size % 2 === 0 && overlaps(before, new Set([...before, size, size + 1, size + 2])));
  }
});
test('a group of two with a replaced member adds a spare first', () => {
  assert.is(nextOf(groupOf(['replaced', 'serving'], { size: 3 })), 'add new');
  assert.is(nextOf(groupOf(['replaced', 'serving'], { size: 3, spares: [] })), 'nothing');
});
test.run();
