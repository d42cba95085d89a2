// The configuration as a register with compare-and-set (§7.2): at most one push for each base, and each recognised when
// it is sent again, in bounded space.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  configuration,
  agreedState,
  stateCodec,
  type AgreedState,
  type Push,
  type PushResult,
} from '@thornsail/consensus';

const body = { classes: { a: { kind: 'model', weight: 1 } } };
const numbered = (base: number, revision: number, by = ''): Push => ({
  id: `${base} to ${revision} ${by}`,
  base,
  how: 'whole',
  body,
  revision,
  source: { Revision: revision, By: by },
});
const marked = (base: number, by = ''): Push => ({ id: `mark ${base} ${by}`, base, how: 'whole', body });
/** Says the result of each push in turn: its mark, or why it isn't taken. */
const pushAll = (from: AgreedState, pushes: Push[]): { state: AgreedState; said: (string | number)[] } => {
  let state = from;
  const said = pushes.map((push) => {
    const { state: next, result } = configuration.push(state, push, 1);
    state = next;
    return result.ok ? result.mark : result.why;
  });
  return { state, said };
};
const chain = (count: number): Push[] =>
  Array.from({ length: count }, (_, i) => numbered(i === 0 ? 0 : 3 * i + 1, 3 * i + 4));
const isEncoded = (state: AgreedState): boolean => stateCodec.isValid(stateCodec.encode(state));
const after = (count: number): AgreedState => pushAll(agreedState.initial(), chain(count)).state;
const why = (result: PushResult | null): string | null => (result === null ? null : result.ok ? 'taken' : result.why);

test('one push for each base; the same again is the same, whatever else is in force by then', () => {
  const { said, state } = pushAll(agreedState.initial(), [
    numbered(0, 4),
    numbered(0, 4),
    numbered(0, 4, 'other'),
    numbered(4, 4),
    numbered(4, 9),
    numbered(0, 4),
    numbered(4, 9, 'other'),
    numbered(4, 9),
  ]);
  assert.equal(said, [1, 1, 'collision', 'invalid', 2, 1, 'collision', 2]);
  assert.is(state.config.revision, 9);
});
test('after thousands of pushes none that was taken is refused, and the state is as small as after hundreds', () => {
  const pushes = chain(3000);
  const { state, said } = pushAll(agreedState.initial(), pushes);
  assert.equal(
    said,
    pushes.map((_, i) => i + 1),
  );
  const again = pushes.map((push) => why(configuration.known(state, push)));
  assert.equal([...new Set(again.slice(0, -512))], ['forgotten']);
  assert.equal([...new Set(again.slice(-512))], ['taken']);
  // Others on the bases that are remembered are refused.
  for (const push of pushes.slice(-512)) assert.is(why(configuration.known(state, { ...push, id: 'x' })), 'collision');
  const size = (s: AgreedState): number => JSON.stringify(s).length;
  assert.ok(size(state) < size(after(600)) * 1.1);
});
test('the same by our own marks', () => {
  const pushes = Array.from({ length: 700 }, (_, i) => marked(i));
  const { state } = pushAll(agreedState.initial(), pushes);
  const again = pushes.map((push) => why(configuration.known(state, push)));
  assert.equal([...new Set(again.slice(0, 188))], ['forgotten']);
  assert.equal([...new Set(again.slice(188))], ['taken']);
  assert.is(why(configuration.known(state, marked(400, 'other'))), 'collision');
  assert.is(why(configuration.known(state, marked(700, 'next'))), null);
});
test('what was refused is refused for good, also when its base comes into force', () => {
  const early = numbered(4, 9);
  const { said } = pushAll(agreedState.initial(), [early, numbered(0, 4), early, numbered(4, 9, 'other'), early]);
  assert.equal(said, ['collision', 1, 'collision', 2, 'collision']);
});
test('state of the release before: its ids are recognised, and what it forgot is not refused', () => {
  const pushes = chain(20);
  const { receipts: _, ...before } = after(20);
  assert.equal(
    pushes.map((push) => why(configuration.known(before, push))),
    pushes.map(() => 'taken'),
  );
  // That release has dropped an id; any base below the newest may be its.
  const dropped: AgreedState = { ...before, pushes: before.pushes.slice(1) };
  assert.is(why(configuration.known(dropped, pushes[0]!)), 'forgotten');
  const { state, said } = pushAll(dropped, [
    numbered(61, 70),
    pushes[0]!,
    pushes[1]!,
    numbered(61, 71),
    numbered(70, 75),
  ]);
  assert.equal(said, [21, 'forgotten', 2, 'collision', 22]);
  assert.is(why(configuration.known(state, numbered(61, 71))), 'collision');
});
test('a leader of the release before in between: what it took without a receipt is recognised or not refused', () => {
  const [first, ...rest] = chain(3);
  const one = pushAll(agreedState.initial(), [first!]).state;
  // It keeps the receipts as they are, and adds to the ids alone.
  const { receipts } = one;
  const { state: taken } = pushAll(one, rest);
  const between: AgreedState = { ...taken, receipts: receipts! };
  const { state } = pushAll(between, [numbered(10, 20)]);
  for (const push of [first!, ...rest]) assert.is(why(configuration.known(state, push)), 'taken');
  assert.is(why(configuration.known({ ...state, pushes: [] }, rest[0]!)), 'forgotten');
});
test('what is kept is read by the release before: the newest ids, and the fields that it asks for', () => {
  const state = after(100);
  assert.is(state.pushes.length, 64);
  assert.equal(state.pushes.at(-1), { id: chain(100).at(-1)!.id, mark: 100 });
  const news = configuration.forNodes(state);
  assert.ok(isEncoded(state) && isEncoded(news));
  assert.equal([news.config.value, news.config.mark], [state.config.value, 100]);
  assert.is(news.receipts, undefined);
  assert.ok(JSON.stringify(news).length < JSON.stringify(state).length / 4);
});
test.run();
