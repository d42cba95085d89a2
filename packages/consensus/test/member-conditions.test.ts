// The conditions of members as the leader derives them from the agreed list of nodes (§3.3, §6.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import { agreedState, conditionTracker, type Condition, type NodeEntry, type AgreedState } from '@thornsail/consensus';

const replaceAfter = duration.s(3);
const member = { id: 'a', at: '10.0.0.1:7101' };
const entry = (id: string, place: string, overrides: Partial<NodeEntry> = {}): NodeEntry => ({
  id,
  name: id,
  role: 'store',
  place,
  http: place,
  zone: 'z1',
  incarnation: 1,
  status: 'live',
  since: duration.s(100),
  ...overrides,
});
const stateOf = (...entries: NodeEntry[]): AgreedState => ({
  ...agreedState.initial(),
  nodes: Object.fromEntries(entries.map((node) => [node.id, node])),
});
/** The condition of the member at first and after some time. */
const conditions = (state: AgreedState, spares: NodeEntry[], elapsed: Microseconds, size = 3): Condition[] => {
  let now = duration.s(500);
  const tracker = conditionTracker.open({ clock: { now: () => now } as unknown as Clock, replaceAfter });
  const first = tracker.condition(state, member, spares, size);
  now += elapsed;
  return [first, tracker.condition(state, member, spares, size)];
};
const dead = entry('a', member.at, { status: 'dead', since: duration.s(400) });

test('a silent member is overdue after `replaceAfter`, and serving again after its return', () => {
  assert.equal(conditions(stateOf(dead), [], duration.s(2)), ['silent', 'silent']);
  assert.equal(conditions(stateOf(dead), [], duration.s(4)), ['silent', 'overdue']);
  assert.equal(conditions(stateOf(entry('a', member.at)), [], duration.s(4)), ['serving', 'serving']);
});
test('a member whose address has a new identity is replaced at once, even if the new node is lost too', () => {
  const successor = entry('b', member.at, { since: duration.s(400) });
  assert.equal(conditions(stateOf(dead, successor), [], 0), ['replaced', 'replaced']);
  const lost = { ...successor, standing: 'dead' as const, since: duration.s(402) };
  assert.equal(conditions(stateOf(dead, lost), [], 0), ['replaced', 'replaced']);
  assert.equal(conditions(stateOf(successor), [], 0), ['replaced', 'replaced'], 'no longer in the list of nodes');
});
test('an earlier identity at the same address does not make a member replaced', () => {
  const former = entry('b', member.at, { status: 'dead', since: duration.s(300) });
  assert.equal(conditions(stateOf(dead, former), [], 0), ['silent', 'silent']);
  assert.equal(conditions(stateOf(entry('a', member.at), former), [], 0), ['serving', 'serving']);
});
test('a spare that joined at about the time of the loss replaces the member at once, an older spare does not', () => {
  const olderSpare = entry('c', '10.0.0.9:7101', { since: duration.s(100) });
  const newerSpare = { ...olderSpare, since: duration.s(395) };
  assert.equal(conditions(stateOf(dead, olderSpare), [olderSpare], duration.s(2)), ['silent', 'silent']);
  assert.equal(conditions(stateOf(dead, newerSpare), [newerSpare], 0), ['overdue', 'overdue']);
});
test('a member that shuts down cleanly is leaving if there is a spare or the group has an even size', () => {
  const stopping = entry('a', member.at, { status: 'leaving' });
  const spare = entry('c', '10.0.0.9:7101');
  assert.is(conditions(stateOf(stopping), [], 0)[0], 'serving');
  assert.is(conditions(stateOf(stopping), [], 0, 4)[0], 'leaving');
  assert.is(conditions(stateOf(stopping, spare), [spare], 0)[0], 'leaving');
});
test.run();
