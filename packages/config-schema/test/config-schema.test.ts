import { readFileSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configSchema } from '@thornsail/config-schema';
import { shapes } from '@thornsail/test-harness';

const examples = new URL('../../../examples/', import.meta.url);
test('the shipped examples and the configurations of the test clusters are valid', () => {
  const files = readdirSync(fileURLToPath(examples)).filter((file) => file.endsWith('.json'));
  assert.ok(files.length >= 6);
  for (const file of files) {
    const settings = JSON.parse(readFileSync(new URL(file, examples), 'utf8')) as unknown;
    const role = /^(coordinator|store|agent|gateway)\./.exec(file)?.[1] as 'coordinator' | undefined;
    const checked = role ? configSchema.options(role, settings) : configSchema.check(settings);
    assert.equal(checked.ok ? [] : checked.problems, [], file);
  }
  for (const shape of Object.values(shapes)) assert.ok(configSchema.check(shape.config).ok);
});
test('every invalid value and unknown key is reported by its path, and defaults are filled in', () => {
  const problemPaths = (config: unknown): string[] => {
    const checked = configSchema.check(config);
    assert.not.ok(checked.ok);
    return checked.ok ? [] : checked.problems.map((problem) => problem.path).sort();
  };
  assert.equal(problemPaths({}), ['classes']);
  assert.equal(problemPaths({ classes: { chat: { kind: 'gpu', weight: 0 } } }), [
    'classes.chat.kind',
    'classes.chat.weight',
  ]);
  assert.equal(problemPaths({ classes: { chat: { kind: 'model', weight: 1, wieght: 2 } }, slot: 1 }), [
    'classes.chat.wieght',
    'slot',
  ]);
  assert.equal(problemPaths({ classes: { chat: { kind: 'model', weight: 1 } }, scheduler: { pauseTarget: 0.99 } }), [
    'scheduler.pauseTarget',
  ]);
  assert.equal(
    problemPaths({
      classes: { chat: { kind: 'model', weight: 1 } },
      scheduler: { headroomTokens: 1.5, holdLimitMs: 1950 },
    }),
    ['scheduler.headroomTokens', 'scheduler.holdLimitMs'],
  );
  assert.equal(problemPaths({ classes: {} }), ['classes']);
  assert.equal(problemPaths({ classes: { 'Bad Name': { kind: 'model', weight: 1 } } }).length, 1);
  assert.equal(problemPaths([]), ['(all)']);
  const checked = configSchema.check({ classes: { chat: { kind: 'model', weight: 1 } } });
  assert.ok(checked.ok);
  assert.is(checked.value.scheduler.pauseThreshold, 0.95);
  assert.is(checked.value.classes['chat']!.maxTokens, 512);
});
test('a merge patch changes only the given keys, null removes a key, and neither argument is modified', () => {
  const base = { classes: { a: { weight: 1 }, b: { weight: 2 } } };
  const patch = { classes: { a: null, b: { weight: 5 } } };
  assert.equal(configSchema.merge(base, patch), { classes: { b: { weight: 5 } } });
  assert.equal(base.classes.a, { weight: 1 });
  assert.equal(patch.classes.a, null);
});
test('a JSON Patch can be planned without applying it, and applies as a whole or not at all', () => {
  const base = { classes: { chat: { kind: 'model', weight: 1 } } };
  const valid = [
    { op: 'replace', path: '/classes/chat/weight', value: 3 },
    { op: 'add', path: '/slots', value: { model: 4 } },
  ];
  assert.equal(configSchema.plan(base, 'patch', valid), {
    ok: true,
    steps: [
      { op: 'replace', path: '/classes/chat/weight', before: 1, after: 3 },
      { op: 'add', path: '/slots', after: { model: 4 } },
    ],
  });
  assert.equal(base, { classes: { chat: { kind: 'model', weight: 1 } } });
  const problemPath = (patch: unknown): string => {
    const changed = configSchema.change(base, 'patch', patch);
    return changed.ok ? '' : changed.problems[0]!.path;
  };
  assert.is(problemPath([valid[0], { op: 'remove', path: '/nosuch' }]), '(patch 1)');
  assert.is(problemPath([{ op: 'test', path: '/classes/chat/weight', value: 9 }]), '(patch 0)');
  assert.is(problemPath({}), '(patch)');
  assert.is(problemPath([{ op: 'frobnicate', path: '/x' }]), '(patch 0)');
  const planned = configSchema.plan(base, 'patch', [{ op: 'replace', path: '/classes/chat/weight', value: -1 }]);
  assert.equal(planned.ok ? [] : planned.problems.map((problem) => problem.path), ['classes.chat.weight']);
});
test.run();
