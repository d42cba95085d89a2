import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { tokenBudget, type BudgetRecord, type ChargeResult } from '@thornsail/token-budget';
import { seeded } from '@thornsail/runtime';

test('with random, lost and late-settled turns a program receives at most its budget plus one turn', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = seeded(seed);
    let record: BudgetRecord | undefined;
    const budget = 500;
    let received = 0;
    let largest = 0;
    let turns = 0;
    const unsettled: { turn: string; actual: number }[] = [];
    for (let i = 0; i < 60; i++) {
      const turn = `t${turns++}`;
      const reserve = 20 + random.int(100);
      const result = tokenBudget.charge(record, {
        turn,
        by: `e${random.int(3)}`,
        reserve,
        budget,
        at: i,
        isLost: () => random.next() < 0.5,
      });
      if (result.type !== 'charged') {
        assert.ok(result.type === 'reserved' || result.record.spent >= budget);
        if (unsettled.length && random.next() < 0.5) {
          const settlement = unsettled.pop()!;
          record = tokenBudget.settle(record, { ...settlement, tokens: 0, worker: null });
        }
        continue;
      }
      record = result.record;
      // The worker generates at most the reserved tokens, whether or not the outcome is reported.
      const actual = 1 + random.int(reserve);
      const draw = random.next();
      if (draw < 0.2) {
        record = tokenBudget.refund(record, turn);
        continue;
      }
      received += actual;
      largest = Math.max(largest, actual);
      if (draw < 0.7) record = tokenBudget.settle(record, { turn, actual, tokens: 0, worker: null });
      else unsettled.push({ turn, actual });
      assert.ok(record!.spent >= received, 'fewer tokens are charged than were received');
    }
    assert.ok(received <= budget + largest, `seed ${seed}: received ${received} tokens of a budget of ${budget}`);
  }
});
test('a turn dropped as lost stays charged if its settlement arrives later', () => {
  const first = tokenBudget.charge(undefined, {
    turn: 'a',
    by: 'x',
    reserve: 50,
    budget: 100,
    at: 0,
    isLost: () => false,
  });
  assert.is(first.type, 'charged');
  const second = tokenBudget.charge(first.record, {
    turn: 'b',
    by: 'y',
    reserve: 30,
    budget: 100,
    at: 1,
    isLost: () => true,
  });
  assert.is(second.type, 'charged');
  assert.is(tokenBudget.settle(second.record, { turn: 'a', actual: 1, tokens: 1, worker: null })!.spent, 80);
  assert.is(second.record.lost, 1);
});
test('every open turn is charged; a budget used up by reservations is reserved, not exhausted', () => {
  const defaults = { budget: 100, at: 0, isLost: (): boolean => false };
  const first = tokenBudget.charge(undefined, { ...defaults, turn: 'a', by: 'x', reserve: 60 });
  assert.is(first.type, 'charged');
  const second = tokenBudget.charge(first.record, { ...defaults, turn: 'b', by: 'y', reserve: 60 });
  assert.is(second.type, 'charged');
  assert.is(second.record.spent, 120);
  const third = tokenBudget.charge(second.record, { ...defaults, turn: 'c', by: 'z', reserve: 1 });
  assert.is(third.type, 'reserved');
  const settled = tokenBudget.settle(second.record, { turn: 'a', actual: 30, tokens: 30, worker: null })!;
  assert.is(tokenBudget.charge(settled, { ...defaults, turn: 'c', by: 'z', reserve: 1 }).type, 'charged');
  const spentRecord = tokenBudget.settle(settled, { turn: 'b', actual: 70, tokens: 70, worker: null });
  const fourth = tokenBudget.charge(spentRecord, { ...defaults, turn: 'd', by: 'z', reserve: 1 });
  assert.is(fourth.type, 'exhausted');
});
test('the budget of the class at the time of the charge applies to the tokens spent under all classes', () => {
  const chargeWithBudget = (record: BudgetRecord | undefined, turn: string, budget: number): ChargeResult =>
    tokenBudget.charge(record, { turn, by: 'x', reserve: 50, budget, at: 0, isLost: () => false });
  const first = chargeWithBudget(undefined, 'a', 40);
  assert.is(first.type, 'charged');
  const settled = tokenBudget.settle(first.record, { turn: 'a', actual: 45, tokens: 45, worker: null });
  assert.is.not(chargeWithBudget(settled, 'b', 40).type, 'charged');
  assert.is(chargeWithBudget(settled, 'b', 100).type, 'charged');
  assert.is.not(chargeWithBudget(settled, 'c', 10).type, 'charged');
});
test('an open turn in the format of the previous release is counted and can be settled', () => {
  const open = { turn: 'a', by: 'x', reserved: 50, at: 0 };
  const old = { budget: 100, spent: 50, open, tokens: 0, worker: null, turns: 1, lost: 0 } as unknown as BudgetRecord;
  assert.is(tokenBudget.settle(old, { turn: 'a', actual: 20, tokens: 20, worker: null })!.spent, 20);
  const second = tokenBudget.charge(old, { turn: 'b', by: 'y', reserve: 60, budget: 100, at: 1, isLost: () => false });
  assert.equal([second.type, second.record.spent, second.record.opens.length], ['charged', 110, 2]);
});
test.run();
