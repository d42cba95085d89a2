import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { tokenBudget, type BudgetRecord } from '@thornsail/token-budget';
import { seeded } from '@thornsail/runtime';

test('random turns, lost ones and late settlements: never more received than the budget plus one turn', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const r = seeded(seed);
    let p: BudgetRecord | undefined;
    const budget = 500;
    let received = 0;
    let largest = 0;
    let n = 0;
    const late: { turn: string; actual: number }[] = [];
    for (let i = 0; i < 60; i++) {
      const turn = `t${n++}`;
      const reserve = 20 + r.int(100);
      const c = tokenBudget.charge(p, { turn, by: `e${r.int(3)}`, reserve, budget, at: i, gone: () => r.next() < 0.5 });
      if (!c.ok) {
        assert.ok(c.why === 'open' || c.budgetRecord.spent >= budget);
        if (late.length && r.next() < 0.5) {
          const l = late.pop()!;
          p = tokenBudget.settle(p, { ...l, tokens: 0, worker: null });
        }
        continue;
      }
      p = c.budgetRecord;
      // The worker gives at most what was reserved, whether or not the outcome is heard of.
      const actual = 1 + r.int(reserve);
      const k = r.next();
      if (k < 0.2) {
        p = tokenBudget.giveBack(p, turn);
        continue;
      }
      received += actual;
      largest = Math.max(largest, actual);
      if (k < 0.7) p = tokenBudget.settle(p, { turn, actual, tokens: 0, worker: null });
      else late.push({ turn, actual });
      assert.ok(p!.spent >= received, 'less is charged than was received');
    }
    assert.ok(received <= budget + largest, `seed ${seed}: ${received} of ${budget}`);
  }
});
test('a turn taken for lost stays charged when its settlement comes late', () => {
  const a = tokenBudget.charge(undefined, { turn: 'a', by: 'x', reserve: 50, budget: 100, at: 0, gone: () => false });
  assert.ok(a.ok);
  const b = tokenBudget.charge(a.budgetRecord, {
    turn: 'b',
    by: 'y',
    reserve: 30,
    budget: 100,
    at: 1,
    gone: () => true,
  });
  assert.ok(b.ok);
  assert.is(tokenBudget.settle(b.budgetRecord, { turn: 'a', actual: 1, tokens: 1, worker: null })!.spent, 80);
  assert.is(b.budgetRecord.lost, 1);
});
test('several open turns are each charged; what they hold is not spent for good', () => {
  const at = { budget: 100, at: 0, gone: (): boolean => false };
  const a = tokenBudget.charge(undefined, { ...at, turn: 'a', by: 'x', reserve: 60 });
  assert.ok(a.ok);
  const b = tokenBudget.charge(a.budgetRecord, { ...at, turn: 'b', by: 'y', reserve: 60 });
  assert.ok(b.ok);
  assert.is(b.budgetRecord.spent, 120);
  const c = tokenBudget.charge(b.budgetRecord, { ...at, turn: 'c', by: 'z', reserve: 1 });
  assert.equal([c.ok, !c.ok && c.why], [false, 'open']);
  const settled = tokenBudget.settle(b.budgetRecord, { turn: 'a', actual: 30, tokens: 30, worker: null })!;
  assert.ok(tokenBudget.charge(settled, { ...at, turn: 'c', by: 'z', reserve: 1 }).ok);
  const over = tokenBudget.settle(settled, { turn: 'b', actual: 70, tokens: 70, worker: null });
  const d = tokenBudget.charge(over, { ...at, turn: 'd', by: 'z', reserve: 1 });
  assert.equal([d.ok, !d.ok && d.why], [false, 'spent']);
});
test('the budget that counts is the one of the class at the time of the charge; spent is one sum', () => {
  const under = (p: BudgetRecord | undefined, turn: string, budget: number): ReturnType<typeof tokenBudget.charge> =>
    tokenBudget.charge(p, { turn, by: 'x', reserve: 50, budget, at: 0, gone: () => false });
  const a = under(undefined, 'a', 40);
  assert.ok(a.ok);
  const p = tokenBudget.settle(a.budgetRecord, { turn: 'a', actual: 45, tokens: 45, worker: null });
  assert.not.ok(under(p, 'b', 40).ok);
  assert.ok(under(p, 'b', 100).ok);
  assert.not.ok(under(p, 'c', 10).ok);
});
test('an open turn as the release before kept it counts and is settled', () => {
  const open = { turn: 'a', by: 'x', reserved: 50, at: 0 };
  const old = { budget: 100, spent: 50, open, tokens: 0, worker: null, turns: 1, lost: 0 } as unknown as BudgetRecord;
  assert.is(tokenBudget.settle(old, { turn: 'a', actual: 20, tokens: 20, worker: null })!.spent, 20);
  const b = tokenBudget.charge(old, { turn: 'b', by: 'y', reserve: 60, budget: 100, at: 1, gone: () => false });
  assert.equal([b.ok, b.budgetRecord.spent, b.budgetRecord.opens.length], [true, 110, 2]);
});
test.run();
