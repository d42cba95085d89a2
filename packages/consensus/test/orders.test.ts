// Every order of events of small cases of the consensus state machine, to a depth (§3.3).
import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant } from '@thornsail/runtime';
import { checkRecovers, clone, create, leaderOf, nodeActions, packetActions, perform, settle } from './model.js';
import type { Action, Model } from './model.js';

/** How often each kind of trouble may come in one order; deliveries and syncs are not limited. */
type Budget = Partial<Record<Action['kind'], number>>;
type Case = { what: string; members: number; spares: number; budget: Budget; depth: number; start: (m: Model) => void };
type Reached = { model: Model; budget: Budget; depth: number };

const unlimited: readonly Action['kind'][] = ['deliver', 'sync', 'restart'];

const fingerprint = (reached: Reached): string =>
  JSON.stringify([reached.model, reached.budget], (key, value: unknown) => {
    if (key === 'lives' || key === 'counts') return undefined;
    if (value instanceof Map) return [...(value as Map<unknown, unknown>)];
    if (value instanceof Set) return [...(value as Set<unknown>)].sort();
    return value;
  });

const choices = (model: Model, budget: Budget): Action[] =>
  [...packetActions(model), ...model.nodes.flatMap((node) => nodeActions(model, node))].filter(
    ({ kind }) => unlimited.includes(kind) || (budget[kind] ?? 0) > 0,
  );
const after = (from: Reached, action: Action): Reached => {
  const model = clone(from.model);
  perform(model, action);
  const left = from.budget[action.kind];
  const budget = left === undefined ? from.budget : { ...from.budget, [action.kind]: left - 1 };
  return { model, budget, depth: from.depth + 1 };
};

type Counts = { states: number; ends: number; confirmed: number };
const checkEnd = (one: Case, model: Model, counts: Counts): void => {
  counts.ends += 1;
  counts.confirmed += Number(model.confirmed.length > 0);
  if (counts.ends % 25) return;
  checkRecovers(model);
  assert.equal(model.problems, [], `${one.what}: afterwards`);
};

/**
 * Walks all orders to a depth, the short ones first, so that a state is met at its least depth. From some of those that
 * end (one in 25) the group must recover.
 */
const explore = (one: Case): Counts => {
  const first = create(one.members, one.spares);
  settle(first, 60);
  one.start(first);
  const known = new Set<string>();
  const counts = { states: 1, ends: 0, confirmed: 0 };
  let level: Reached[] = [{ model: first, budget: one.budget, depth: 0 }];
  while (level.length > 0) {
    const following: Reached[] = [];
    for (const from of level) {
      const actions = choices(from.model, from.budget);
      if (actions.length === 0) checkEnd(one, from.model, counts);
      for (const action of actions) {
        const reached = after(from, action);
        assert.equal(reached.model.problems, [], `${one.what}: ${JSON.stringify(action)}`);
        const print = createHash('sha1').update(fingerprint(reached)).digest('base64');
        if (known.has(print)) continue;
        known.add(print);
        counts.states += 1;
        if (reached.depth < one.depth) following.push(reached);
        else checkEnd(one, reached.model, counts);
      }
    }
    level = following;
  }
  return counts;
};

const jump = (model: Model): void => {
  for (const node of model.nodes) if (node.state?.role !== 'leader') node.clock += 700_000;
};
const leaderAt = (model: Model): string => leaderOf(model)!.at;
const cases: Case[] = [
  {
    what: 'a change, a crash before or after a sync, a message lost',
    members: 3,
    spares: 0,
    budget: { crash: 1, 'crash-after-sync': 1, lose: 1 },
    depth: 9,
    start: (model) => perform(model, { kind: 'propose', at: leaderAt(model) }),
  },
  {
    what: 'a change while another stands for election',
    members: 3,
    spares: 0,
    budget: { 'time-out': 1, propose: 1 },
    depth: 9,
    start: (model) => {
      perform(model, { kind: 'propose', at: leaderAt(model) });
      jump(model);
    },
  },
  {
    what: 'a member is added while another stands for election',
    members: 3,
    spares: 1,
    budget: { 'time-out': 1, lose: 1 },
    depth: 8,
    start: (model) => {
      const spare = model.nodes[3]!;
      perform(model, { kind: 'add', at: leaderAt(model), member: { id: spare.id, at: spare.at } });
      jump(model);
    },
  },
  {
    what: 'a read and a change race with an election',
    members: 3,
    spares: 0,
    budget: { 'time-out': 1, read: 1, propose: 1 },
    depth: 8,
    start: jump,
  },
];

for (const one of cases)
  test(one.what, () => {
    invariant.clear();
    const counts = explore(one);
    process.stdout.write(`${one.what}: ${JSON.stringify(counts)}\n`);
    assert.ok(counts.states > 1000 && counts.ends > 100, 'orders were walked');
  });
test.run();
