import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { tokenBudget, type BudgetRecord, type ChargeResult } from '@thornsail/token-budget';
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
      const c = tokenBudget.charge(p, {
        turn,
        by: `e${r.int(3)}`,
        reserve,
        budget,
        at: i,
        isLost: () => r.next() < 0.5,
      });
      if (c.type !== 'charged') {
        assert.ok(c.type === 'reserved' || c.record.spent >= budget);
        if (late.length && r.next() < 0.5) {
          const l = late.pop()!;
          p = tokenBudget.settle(p, { ...l, tokens: 0, worker: null });
        }
        continue;
      }
      p = c.record;
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
  const a = tokenBudget.charge(undefined, { turn: 'a', by: 'x', reserve: 50, budget: 100, at: 0, isLost: () => false });
  assert.is(a.type, 'charged');
  const b = tokenBudget.charge(a.record, {
    turn: 'b',
    by: 'y',
    reserve: 30,
    budget: 100,
    at: 1,
    isLost: () => true,
  });
  assert.is(b.type, 'charged');
  assert.is(tokenBudget.settle(b.record, { turn: 'a', actual: 1, tokens: 1, worker: null })!.spent, 80);
  assert.is(b.record.lost, 1);
});
test('several open turns are each charged; what they hold is not spent for good', () => {
  const at = { budget: 100, at: 0, isLost: (): boolean => false };
  const a = tokenBudget.charge(undefined, { ...at, turn: 'a', by: 'x', reserve: 60 });
  assert.is(a.type, 'charged');
  const b = tokenBudget.charge(a.record, { ...at, turn: 'b', by: 'y', reserve: 60 });
  assert.is(b.type, 'charged');
  assert.is(b.record.spent, 120);
  const c = tokenBudget.charge(b.record, { ...at, turn: 'c', by: 'z', reserve: 1 });
  assert.is(c.type, 'reserved');
  const settled = tokenBudget.settle(b.record, { turn: 'a', actual: 30, tokens: 30, worker: null })!;
  assert.is(tokenBudget.charge(settled, { ...at, turn: 'c', by: 'z', reserve: 1 }).type, 'charged');
  const over = tokenBudget.settle(settled, { turn: 'b', actual: 70, tokens: 70, worker: null });
  const d = tokenBudget.charge(over, { ...at, turn: 'd', by: 'z', reserve: 1 });
  assert.is(d.type, 'exhausted');
});
test('the budget that counts is the one of the class at the time of the charge; spent is one sum', () => {
  const under = (p: BudgetRecord | undefined, turn: string, budget: number): ChargeResult =>
    tokenBudget.charge(p, { turn, by: 'x', reserve: 50, budget, at: 0, isLost: () => false });
  const a = under(undefined, 'a', 40);
  assert.is(a.type, 'charged');
  const p = tokenBudget.settle(a.record, { turn: 'a', actual: 45, tokens: 45, worker: null });
  assert.is.not(under(p, 'b', 40).type, 'charged');
  assert.is(under(p, 'b', 100).type, 'charged');
  assert.is.not(under(p, 'c', 10).type, 'charged');
});
test('an open turn as the release before kept it counts and is settled', () => {
  const open = { turn: 'a', by: 'x', reserved: 50, at: 0 };
  const old = { budget: 100, spent: 50, open, tokens: 0, worker: null, turns: 1, lost: 0 } as unknown as BudgetRecord;
  assert.is(tokenBudget.settle(old, { turn: 'a', actual: 20, tokens: 20, worker: null })!.spent, 20);
  const b = tokenBudget.charge(old, { turn: 'b', by: 'y', reserve: 60, budget: 100, at: 1, isLost: () => false });
  assert.equal([b.type, b.record.spent, b.record.opens.length], ['charged', 110, 2]);
});
test.run();
