// The conditions of members as the leader reads them from the roster (§3.3, §6.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import { agreedState, presence, type Condition, type NodeEntry, type AgreedState } from '@thornsail/consensus';

const replaceAfter = duration.s(3);
const member = { id: 'a', at: '10.0.0.1:7101' };
const entry = (id: string, place: string, over: Partial<NodeEntry> = {}): NodeEntry => ({
  id,
  name: id,
  role: 'store',
  place,
  http: place,
  zone: 'z1',
  incarnation: 1,
  status: 'live',
  since: duration.s(100),
  ...over,
});
const stateOf = (...entries: NodeEntry[]): AgreedState => ({
  ...agreedState.initial(),
  nodes: Object.fromEntries(entries.map((n) => [n.id, n])),
});
/** What a leader says of the member now, and after some time. */
const conditions = (s: AgreedState, spares: NodeEntry[], after: Microseconds, size = 3): Condition[] => {
  let now = duration.s(500);
  const p = presence.open({ clock: { now: () => now } as unknown as Clock, replaceAfter });
  const first = p.condition(s, member, spares, size);
  now += after;
  return [first, p.condition(s, member, spares, size)];
};
const dead = entry('a', member.at, { status: 'dead', since: duration.s(400) });

test('a silent member is overdue after its time, and serves again when it is back', () => {
  assert.equal(conditions(stateOf(dead), [], duration.s(2)), ['silent', 'silent']);
  assert.equal(conditions(stateOf(dead), [], duration.s(4)), ['silent', 'overdue']);
  assert.equal(conditions(stateOf(entry('a', member.at)), [], duration.s(4)), ['serving', 'serving']);
});
test('one whose address has a new identity is gone at once, even if that one is lost too', () => {
  const successor = entry('b', member.at, { since: duration.s(400) });
  assert.equal(conditions(stateOf(dead, successor), [], 0), ['gone', 'gone']);
  const lost = { ...successor, standing: 'dead' as const, since: duration.s(402) };
  assert.equal(conditions(stateOf(dead, lost), [], 0), ['gone', 'gone']);
  assert.equal(conditions(stateOf(successor), [], 0), ['gone', 'gone'], 'the roster has forgotten it');
});
test('an identity that was at its address before does not make it gone', () => {
  const former = entry('b', member.at, { status: 'dead', since: duration.s(300) });
  assert.equal(conditions(stateOf(dead, former), [], 0), ['silent', 'silent']);
  assert.equal(conditions(stateOf(entry('a', member.at), former), [], 0), ['serving', 'serving']);
});
test('a spare that joined about when it was lost takes its place at once, an older one waits', () => {
  const old = entry('c', '10.0.0.9:7101', { since: duration.s(100) });
  const young = { ...old, since: duration.s(395) };
  assert.equal(conditions(stateOf(dead, old), [old], duration.s(2)), ['silent', 'silent']);
  assert.equal(conditions(stateOf(dead, young), [young], 0), ['overdue', 'overdue']);
});
test('one that ends in order leaves where a spare is there, or an even group bears more without it', () => {
  const ends = entry('a', member.at, { status: 'leaving' });
  const spare = entry('c', '10.0.0.9:7101');
  assert.is(conditions(stateOf(ends), [], 0)[0], 'serving');
  assert.is(conditions(stateOf(ends), [], 0, 4)[0], 'leaving');
  assert.is(conditions(stateOf(ends, spare), [spare], 0)[0], 'leaving');
});
test.run();
