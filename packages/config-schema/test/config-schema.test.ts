import { readFileSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configSchema } from '@thornsail/config-schema';
import { shapes } from '@thornsail/test-harness';

const examples = new URL('../../../examples/', import.meta.url);
test('the shipped examples and the stand-in shapes are valid', () => {
  const files = readdirSync(fileURLToPath(examples)).filter((f) => f.endsWith('.json'));
  assert.ok(files.length >= 6);
  for (const f of files) {
    const v = JSON.parse(readFileSync(new URL(f, examples), 'utf8')) as unknown;
    const role = /^(coordinator|store|agent|gateway)\./.exec(f)?.[1] as 'coordinator' | undefined;
    const c = role ? configSchema.options(role, v) : configSchema.check(v);
    assert.equal(c.ok ? [] : c.problems, [], f);
  }
  for (const s of Object.values(shapes)) assert.ok(configSchema.check(s.config).ok);
});
test('every wrong value is named by its path, unknown keys among them, and defaults are filled in', () => {
  const bad = (u: unknown): string[] => {
    const c = configSchema.check(u);
    assert.not.ok(c.ok);
    return c.ok ? [] : c.problems.map((p) => p.path).sort();
  };
  assert.equal(bad({}), ['classes']);
  assert.equal(bad({ classes: { chat: { kind: 'gpu', weight: 0 } } }), ['classes.chat.kind', 'classes.chat.weight']);
  assert.equal(bad({ classes: { chat: { kind: 'model', weight: 1, wieght: 2 } }, slot: 1 }), [
    'classes.chat.wieght',
    'slot',
  ]);
  assert.equal(bad({ classes: { chat: { kind: 'model', weight: 1 } }, scheduler: { pauseTarget: 0.99 } }), [
    'scheduler.pauseTarget',
  ]);
  assert.equal(
    bad({ classes: { chat: { kind: 'model', weight: 1 } }, scheduler: { headroomTokens: 1.5, holdLimitMs: 1950 } }),
    ['scheduler.headroomTokens', 'scheduler.holdLimitMs'],
  );
  assert.equal(bad({ classes: {} }), ['classes']);
  assert.equal(bad({ classes: { 'Bad Name': { kind: 'model', weight: 1 } } }).length, 1);
  assert.equal(bad([]), ['(all)']);
  const c = configSchema.check({ classes: { chat: { kind: 'model', weight: 1 } } });
  assert.ok(c.ok);
  assert.is(c.value.scheduler.pauseThreshold, 0.95);
  assert.is(c.value.classes['chat']!.maxTokens, 512);
});
test('a merge patch changes a part, null removes, and neither side is altered', () => {
  const base = { classes: { a: { weight: 1 }, b: { weight: 2 } } };
  const patch = { classes: { a: null, b: { weight: 5 } } };
  assert.equal(configSchema.merge(base, patch), { classes: { b: { weight: 5 } } });
  assert.equal(base.classes.a, { weight: 1 });
  assert.equal(patch.classes.a, null);
});
test('a JSON Patch is planned before it applies, and applies whole or not at all', () => {
  const base = { classes: { chat: { kind: 'model', weight: 1 } } };
  const ok = [
    { op: 'replace', path: '/classes/chat/weight', value: 3 },
    { op: 'add', path: '/slots', value: { model: 4 } },
  ];
  assert.equal(configSchema.plan(base, 'patch', ok), {
    ok: true,
    steps: [
      { op: 'replace', path: '/classes/chat/weight', before: 1, after: 3 },
      { op: 'add', path: '/slots', after: { model: 4 } },
    ],
  });
  assert.equal(base, { classes: { chat: { kind: 'model', weight: 1 } } });
  const bad = (patch: unknown): string => {
    const r = configSchema.change(base, 'patch', patch);
    return r.ok ? '' : r.problems[0]!.path;
  };
  assert.is(bad([ok[0], { op: 'remove', path: '/nosuch' }]), '(patch 1)');
  assert.is(bad([{ op: 'test', path: '/classes/chat/weight', value: 9 }]), '(patch 0)');
  assert.is(bad({}), '(patch)');
  assert.is(bad([{ op: 'frobnicate', path: '/x' }]), '(patch 0)');
  const wrong = configSchema.plan(base, 'patch', [{ op: 'replace', path: '/classes/chat/weight', value: -1 }]);
  assert.equal(wrong.ok ? [] : wrong.problems.map((p) => p.path), ['classes.chat.weight']);
});
test.run();
