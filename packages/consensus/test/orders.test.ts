// Explores every order of events of small cases of the consensus state machine, up to a limited depth (§3.3).
import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant } from '@thornsail/runtime';
import {
  checkRecovers,
  cloneModel,
  createModel,
  leaderOf,
  nodeActions,
  packetActions,
  perform,
  healAndRun,
} from './model.js';
import type { Action, Model } from './model.js';

/** How often each kind of action may occur in one order; deliveries, syncs and restarts are not limited. */
type Budget = Partial<Record<Action['kind'], number>>;
type Case = {
  title: string;
  members: number;
  spares: number;
  budget: Budget;
  depth: number;
  start: (model: Model) => void;
};
type Reached = { model: Model; budget: Budget; depth: number };

const unlimited: readonly Action['kind'][] = ['deliver', 'sync', 'restart'];

const fingerprint = (reached: Reached): string =>
  JSON.stringify([reached.model, reached.budget], (key, value: unknown) => {
    if (key === 'incarnation' || key === 'counts') return undefined;
    if (value instanceof Map) return [...(value as Map<unknown, unknown>)];
    if (value instanceof Set) return [...(value as Set<unknown>)].sort();
    return value;
  });

const possibleActions = (model: Model, budget: Budget): Action[] =>
  [...packetActions(model), ...model.nodes.flatMap((node) => nodeActions(model, node))].filter(
    ({ kind }) => unlimited.includes(kind) || (budget[kind] ?? 0) > 0,
  );
const after = (from: Reached, action: Action): Reached => {
  const model = cloneModel(from.model);
  perform(model, action);
  const remaining = from.budget[action.kind];
  const budget = remaining === undefined ? from.budget : { ...from.budget, [action.kind]: remaining - 1 };
  return { model, budget, depth: from.depth + 1 };
};

type Counts = { states: number; ends: number; confirmed: number };
const checkEnd = (testCase: Case, model: Model, counts: Counts): void => {
  counts.ends += 1;
  counts.confirmed += Number(model.confirmedValues.length > 0);
  if (counts.ends % 25) return;
  checkRecovers(model);
  assert.equal(model.violations, [], `${testCase.title}: recovery`);
};

/**
 * Explores all orders up to a depth breadth first, so that each state is reached at its smallest depth. From one in 25
 * of the final states the group must recover.
 */
const explore = (testCase: Case): Counts => {
  const first = createModel(testCase.members, testCase.spares);
  healAndRun(first, 60);
  testCase.start(first);
  const known = new Set<string>();
  const counts = { states: 1, ends: 0, confirmed: 0 };
  let level: Reached[] = [{ model: first, budget: testCase.budget, depth: 0 }];
  while (level.length > 0) {
    const nextLevel: Reached[] = [];
    for (const from of level) {
      const actions = possibleActions(from.model, from.budget);
      if (actions.length === 0) checkEnd(testCase, from.model, counts);
      for (const action of actions) {
        const reached = after(from, action);
        assert.equal(reached.model.violations, [], `${testCase.title}: ${JSON.stringify(action)}`);
        const digest = createHash('sha1').update(fingerprint(reached)).digest('base64');
        if (known.has(digest)) continue;
        known.add(digest);
        counts.states += 1;
        if (reached.depth < testCase.depth) nextLevel.push(reached);
        else checkEnd(testCase, reached.model, counts);
      }
    }
    level = nextLevel;
  }
  return counts;
};

/** Advances the clocks of all nodes but the leader beyond the election timeout. */
const advanceFollowerClocks = (model: Model): void => {
  for (const node of model.nodes) if (node.state?.role !== 'leader') node.clock += 700_000;
};
const leaderAddress = (model: Model): string => leaderOf(model)!.at;
const cases: Case[] = [
  {
    title: 'a change, a crash before or after a sync, and a lost message',
    members: 3,
    spares: 0,
    budget: { crash: 1, 'crash-after-sync': 1, lose: 1 },
    depth: 9,
    start: (model) => perform(model, { kind: 'propose', at: leaderAddress(model) }),
  },
  {
    title: 'a change while another member is a candidate',
    members: 3,
    spares: 0,
    budget: { 'time-out': 1, propose: 1 },
    depth: 9,
    start: (model) => {
      perform(model, { kind: 'propose', at: leaderAddress(model) });
      advanceFollowerClocks(model);
    },
  },
  {
    title: 'a member is added while another member is a candidate',
    members: 3,
    spares: 1,
    budget: { 'time-out': 1, lose: 1 },
    depth: 8,
    start: (model) => {
      const spare = model.nodes[3]!;
      perform(model, { kind: 'add', at: leaderAddress(model), member: { id: spare.id, at: spare.at } });
      advanceFollowerClocks(model);
    },
  },
  {
    title: 'a read and a change race with an election',
    members: 3,
    spares: 0,
    budget: { 'time-out': 1, read: 1, propose: 1 },
    depth: 8,
    start: advanceFollowerClocks,
  },
];

for (const testCase of cases)
  test(testCase.title, () => {
    invariant.clear();
    const counts = explore(testCase);
    process.stdout.write(`${testCase.title}: ${JSON.stringify(counts)}\n`);
    assert.ok(counts.states > 1000 && counts.ends > 100, 'too few orders were explored');
  });
test.run();
