import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { loadBalancer, formats } from '@thornsail/load-balancer';
import { configSchema, type Config } from '@thornsail/config-schema';
import { seeded } from '@thornsail/runtime';

const config = (): Config => {
  const c = configSchema.check({
    classes: { chat: { kind: 'model', weight: 3 }, alarm: { kind: 'model', weight: 1, urgent: true, reserve: 0.25 } },
    slots: { model: 4, app: 1 },
  });
  assert.ok(c.ok);
  return c.value;
};
const open = (): ReturnType<typeof loadBalancer.open> => {
  const b = loadBalancer.open(() => 0);
  b.config(config());
  b.workers([
    { id: 'a', at: '1.1.1.1:1', kind: 'model', leaving: false },
    { id: 'b', at: '1.1.1.2:1', kind: 'model', leaving: false },
  ]);
  return b;
};
const fill = (b: ReturnType<typeof loadBalancer.open>, cls: string): number => {
  let n = 0;
  for (let w = b.pick(cls, {}); w; w = b.pick(cls, {})) {
    b.take(w.id, cls);
    n += 1;
  }
  return n;
};

test('an idle class lends its share, but an urgent one keeps a reserve that is never lent', () => {
  const b = open();
  assert.is(fill(b, 'chat'), 6);
  assert.is(fill(b, 'alarm'), 2);
});
test('a borrower takes nothing more while the lender waits below its share', () => {
  const b = open();
  const c = config();
  c.classes['alarm']!.weight = 3;
  b.config(c);
  for (let i = 0; i < 4; i++) b.take(b.pick('chat', {})!.id, 'chat');
  assert.ok(b.pick('chat', {}), 'above its share, and nobody waits');
  b.wait('alarm', 1);
  assert.is(b.pick('chat', {}), null);
  b.wait('alarm', -1);
  assert.ok(b.pick('chat', {}));
});
test('the hint is taken if it has room, else the least loaded; leaving and bad workers are not picked', () => {
  const b = open();
  assert.is(b.pick('chat', { hint: 'b' })!.id, 'b');
  for (let i = 0; i < 3; i++) b.take('b', 'chat');
  assert.is(b.pick('chat', { hint: 'b' })!.id, 'a');
  b.workers([
    { id: 'a', at: '1.1.1.1:1', kind: 'model', leaving: true },
    { id: 'b', at: '1.1.1.2:1', kind: 'model', leaving: false },
  ]);
  assert.is(b.pick('chat', { hint: 'a' }), null);
  assert.is(b.pick('chat', { hint: 'a', force: true })!.id, 'b');
});
test('forced turns may overfill a worker, and its urgent reserve is there all the same', () => {
  const b = open();
  for (let i = 0; i < 20; i++) b.take(b.pick('chat', { force: true })!.id, 'chat');
  assert.is(fill(b, 'alarm'), 2);
});
test("siblings' running turns count", () => {
  const b = open();
  b.siblings([{ id: 'x', load: { running: { a: { chat: 3 }, b: { chat: 1 } }, waiting: {} } }]);
  // Of the two free slots at b, past the reserve, one is dealt to the sibling.
  assert.is(fill(b, 'chat'), 1);
});
test('edges that see the same free slots do not fill them more than once; idle parts go to one that waits', () => {
  const t = { now: 0 };
  const c = configSchema.check({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  assert.ok(c.ok);
  const names = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  const workers = ['a', 'b', 'c'].map((id, i) => ({ id, at: `1.1.1.${i}:1`, kind: 'model' as const, leaving: false }));
  const all = names.map((me) => {
    const b = loadBalancer.open(() => t.now, me);
    b.config(c.value);
    b.workers(workers);
    b.siblings(names.filter((n) => n !== me).map((id) => ({ id, load: { running: {}, waiting: {} } })));
    return b;
  });
  const took = new Map<string, number>();
  for (const b of all)
    for (let w = b.pick('chat', {}); w; w = b.pick('chat', {})) {
      b.take(w.id, 'chat');
      took.set(w.id, (took.get(w.id) ?? 0) + 1);
    }
  assert.equal([...took.values()], [8, 8, 8]);
  // One edge alone gets all, once it has waited for longer than its siblings would have kept silent.
  const one = loadBalancer.open(() => t.now, 'e1');
  one.config(c.value);
  one.workers(workers);
  one.siblings(names.slice(1).map((id) => ({ id, load: { running: {}, waiting: {} } })));
  assert.ok(fill(one, 'chat') < 8);
  assert.is(one.pick('chat', { hungry: 0 }), null);
  for (let w = one.pick('chat', { hungry: 700_000 }); w; w = one.pick('chat', { hungry: 700_000 }))
    one.take(w.id, 'chat');
  assert.is(
    Object.values(one.load().running).reduce((a, r) => a + r['chat']!, 0),
    24,
  );
});
test('with a least part no edge waits for how free slots are dealt, and equal workers are taken in turn', () => {
  const c = configSchema.check({
    classes: { call: { kind: 'app', weight: 1 } },
    slots: { model: 1, app: 6 },
    limits: { leastPart: 2 },
  });
  assert.ok(c.ok);
  const names = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'];
  const workers = ['a', 'b', 'c'].map((id, i) => ({ id, at: `1.1.1.${i}:1`, kind: 'app' as const, leaving: false }));
  const opened = (me: string): ReturnType<typeof loadBalancer.open> => {
    const b = loadBalancer.open(() => 0, me);
    b.config(c.value);
    b.workers(workers);
    b.siblings(names.filter((n) => n !== me).map((id) => ({ id, load: { running: {}, waiting: {} } })));
    return b;
  };
  const firsts = new Map<string, number>();
  for (const me of names) {
    const b = opened(me);
    const first = b.pick('call', {})!.id;
    firsts.set(first, (firsts.get(first) ?? 0) + 1);
    assert.is(fill(b, 'call'), 6, 'two at each of three workers, whichever parts are dealt');
  }
  assert.is(firsts.size, 3, 'edges that see the same do not all begin at the same worker');
});
test('a turn goes back to the worker that has its context while that has a free slot, dealt here or not', () => {
  const t = { now: 0 };
  const c = configSchema.check({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  assert.ok(c.ok);
  const names = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  for (const me of names) {
    const b = loadBalancer.open(() => t.now, me);
    b.config(c.value);
    b.workers(['a', 'b', 'c'].map((id, i) => ({ id, at: `1.1.1.${i}:1`, kind: 'model' as const, leaving: false })));
    const others = names.filter((n) => n !== me);
    // Five of eight slots are taken at each: three are dealt over seven edges.
    const load = { running: { a: { chat: 5 }, b: { chat: 5 }, c: { chat: 5 } }, waiting: {} };
    b.siblings(others.map((id, i) => ({ id, load: i === 0 ? load : { running: {}, waiting: {} } })));
    for (let i = 0; i < 3; i++) {
      const w = b.pick('chat', { hint: 'b', warm: true });
      assert.is(w?.id, 'b', `${me}, turn ${i}`);
      b.take('b', 'chat');
    }
    // Without a slot there it goes where it may, and so does one whose context is nowhere.
    assert.is.not(b.pick('chat', { hint: 'b', warm: true })?.id, 'b');
    assert.is.not(b.pick('chat', { hint: 'b' })?.id, 'b');
  }
});
test('the event reader gives the same pieces however the stream is cut up', () => {
  const text =
    'data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}\n\n: comment\n\n' +
    'data: {"choices":[{"delta":{"tool_calls":[{"index":0}]},"finish_reason":"tool_calls"}]}\r\n\r\n' +
    'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\ndata: [DONE]\n\n';
  const whole = formats.chat.reader()(text);
  assert.equal(
    whole.map((p) => p.kind),
    ['delta', 'delta', 'usage', 'done'],
  );
  const r = seeded(4);
  for (let k = 0; k < 50; k++) {
    const read = formats.chat.reader();
    const got = [];
    for (let i = 0; i < text.length;) {
      const n = 1 + r.int(30);
      got.push(...read(text.slice(i, i + n)));
      i += n;
    }
    assert.equal(got, whole);
  }
  assert.is(formats.chat.reader()('data: {nonsense\n\n')[0]!.kind, 'fault');
  assert.is(formats.report.capacity('{"CacheTotal": 512}'), 512);
  assert.is(formats.report.capacity('{"CacheTotal": "x"}'), undefined);
});
test.run();
