// The configuration as a register with compare-and-set (§7.2): at most one push is accepted for each base, and each
// push is recognised when it is sent again, in bounded space.
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
/** A push with the operator's own revision numbers. */
const pushByRevision = (base: number, revision: number, author = ''): Push => ({
  id: `${base} to ${revision} ${author}`,
  base,
  how: 'whole',
  body,
  revision,
  source: { Revision: revision, By: author },
});
/** A push without revision numbers: the base is a configuration version. */
const pushByVersion = (base: number, author = ''): Push => ({ id: `mark ${base} ${author}`, base, how: 'whole', body });
/** Applies pushes in turn. Each result is the new version, or the reason why the push was not accepted. */
const pushAll = (initial: AgreedState, pushes: Push[]): { state: AgreedState; results: (string | number)[] } => {
  let state = initial;
  const results = pushes.map((push) => {
    const { state: next, result } = configuration.push(state, push, 1);
    state = next;
    return result.ok ? result.mark : result.why;
  });
  return { state, results };
};
const chain = (count: number): Push[] =>
  Array.from({ length: count }, (_, i) => pushByRevision(i === 0 ? 0 : 3 * i + 1, 3 * i + 4));
const hasValidEncoding = (state: AgreedState): boolean => stateCodec.isValid(stateCodec.encode(state));
const stateAfter = (count: number): AgreedState => pushAll(agreedState.initial(), chain(count)).state;
const outcomeOf = (result: PushResult | null): string | null =>
  result === null ? null : result.ok ? 'accepted' : result.why;

test('at most one push is accepted for each base; a repeated push has the same result, also after later pushes', () => {
  const { results, state } = pushAll(agreedState.initial(), [
    pushByRevision(0, 4),
    pushByRevision(0, 4),
    pushByRevision(0, 4, 'other'),
    pushByRevision(4, 4),
    pushByRevision(4, 9),
    pushByRevision(0, 4),
    pushByRevision(4, 9, 'other'),
    pushByRevision(4, 9),
  ]);
  assert.equal(results, [1, 1, 'collision', 'invalid', 2, 1, 'collision', 2]);
  assert.is(state.config.revision, 9);
});
test('after thousands of pushes no accepted one is refused, and the state is as small as after hundreds', () => {
  const pushes = chain(3000);
  const { state, results } = pushAll(agreedState.initial(), pushes);
  assert.equal(
    results,
    pushes.map((_, i) => i + 1),
  );
  const again = pushes.map((push) => outcomeOf(configuration.known(state, push)));
  assert.equal([...new Set(again.slice(0, -512))], ['forgotten']);
  assert.equal([...new Set(again.slice(-512))], ['accepted']);
  // Other pushes on the bases with receipts are refused.
  for (const push of pushes.slice(-512))
    assert.is(outcomeOf(configuration.known(state, { ...push, id: 'x' })), 'collision');
  const sizeOf = (measured: AgreedState): number => JSON.stringify(measured).length;
  assert.ok(sizeOf(state) < sizeOf(stateAfter(600)) * 1.1);
});
test('the same with configuration versions as bases', () => {
  const pushes = Array.from({ length: 700 }, (_, i) => pushByVersion(i));
  const { state } = pushAll(agreedState.initial(), pushes);
  const again = pushes.map((push) => outcomeOf(configuration.known(state, push)));
  assert.equal([...new Set(again.slice(0, 188))], ['forgotten']);
  assert.equal([...new Set(again.slice(188))], ['accepted']);
  assert.is(outcomeOf(configuration.known(state, pushByVersion(400, 'other'))), 'collision');
  assert.is(outcomeOf(configuration.known(state, pushByVersion(700, 'next'))), null);
});
test('a refused push stays refused, also when its base comes into force', () => {
  const early = pushByRevision(4, 9);
  const { results } = pushAll(agreedState.initial(), [
    early,
    pushByRevision(0, 4),
    early,
    pushByRevision(4, 9, 'other'),
    early,
  ]);
  assert.equal(results, ['collision', 1, 'collision', 2, 'collision']);
});
test('state of the previous release: its push ids are recognised, and pushes that it forgot are not refused', () => {
  const pushes = chain(20);
  const { receipts: _, ...previousState } = stateAfter(20);
  assert.equal(
    pushes.map((push) => outcomeOf(configuration.known(previousState, push))),
    pushes.map(() => 'accepted'),
  );
  // The previous release has dropped an id; its push may have had any base below the newest.
  const withoutOldestId: AgreedState = { ...previousState, pushes: previousState.pushes.slice(1) };
  assert.is(outcomeOf(configuration.known(withoutOldestId, pushes[0]!)), 'forgotten');
  const { state, results } = pushAll(withoutOldestId, [
    pushByRevision(61, 70),
    pushes[0]!,
    pushes[1]!,
    pushByRevision(61, 71),
    pushByRevision(70, 75),
  ]);
  assert.equal(results, [21, 'forgotten', 2, 'collision', 22]);
  assert.is(outcomeOf(configuration.known(state, pushByRevision(61, 71))), 'collision');
});
test('pushes that a leader of the previous release accepted without receipts are recognised or not refused', () => {
  const [first, ...rest] = chain(3);
  const firstState = pushAll(agreedState.initial(), [first!]).state;
  // That leader leaves the receipts as they are and adds only to the ids.
  const { receipts } = firstState;
  const { state: acceptedState } = pushAll(firstState, rest);
  const previousState: AgreedState = { ...acceptedState, receipts: receipts! };
  const { state } = pushAll(previousState, [pushByRevision(10, 20)]);
  for (const push of [first!, ...rest]) assert.is(outcomeOf(configuration.known(state, push)), 'accepted');
  assert.is(outcomeOf(configuration.known({ ...state, pushes: [] }, rest[0]!)), 'forgotten');
});
test('the previous release can read the state: it has the newest push ids and the fields that it requires', () => {
  const state = stateAfter(100);
  assert.is(state.pushes.length, 64);
  assert.equal(state.pushes.at(-1), { id: chain(100).at(-1)!.id, mark: 100 });
  const disseminated = configuration.forDissemination(state);
  assert.ok(hasValidEncoding(state) && hasValidEncoding(disseminated));
  assert.equal([disseminated.config.value, disseminated.config.mark], [state.config.value, 100]);
  assert.is(disseminated.receipts, undefined);
  assert.ok(JSON.stringify(disseminated).length < JSON.stringify(state).length / 4);
});
test.run();
