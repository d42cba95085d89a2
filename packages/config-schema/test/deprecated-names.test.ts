// The example settings of the previous release still pass the check, and each deprecated name in them is reported.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configSchema, deprecatedNames, deprecatedNamesRemovedIn, type Role } from '@thornsail/config-schema';

const seeds = ['10.0.1.1:7101', '10.0.2.1:7101', '10.0.3.1:7101'];
const data = '/var/lib/thornsail';
const founders = ['10.0.3.1:7101', '10.0.3.2:7101', '10.0.3.3:7101'];
const zone = 'z1';
/** The settings files in examples/ of release 0.1, by the role names of that release. */
const previousFiles: Record<string, Record<string, unknown>> = {
  front: { name: 'front1', place: '10.0.1.1:7201', http: '10.0.1.1:7202', zone, seeds, pilot: '10.0.1.1:7101' },
  pilot: { name: 'pilot1', place: '10.0.1.1:7101', http: '10.0.1.1:7102', zone, seeds, platform: '10.0.6.1:7400' },
  keeper: { name: 'keeper1', place: '10.0.2.1:7101', http: '10.0.2.1:7102', zone, seeds, data },
  tower: { name: 'tower1', place: '10.0.3.1:7101', http: '10.0.3.1:7102', zone, seeds, data, founders },
};
const roleNamed = (name: string): Role => {
  const current = deprecatedNames.role(name).name;
  if (!configSchema.isRole(current)) throw new Error(`${name} is not a role`);
  return current;
};

test('each settings file of the previous release passes the check of its role', () => {
  for (const [name, file] of Object.entries(previousFiles)) {
    const role = roleNamed(name);
    const checked = configSchema.options(role, deprecatedNames.settings(role, file).settings);
    assert.equal(checked.ok ? [] : checked.problems, [], name);
  }
});
test('each deprecated role and key maps to its current name, with one warning that names both and the release', () => {
  const cases = [
    ['front', 'gateway', deprecatedNames.role('front')],
    ['pilot', 'agent', deprecatedNames.role('pilot')],
    ['tower', 'coordinator', deprecatedNames.role('tower')],
    ['keeper', 'store', deprecatedNames.role('keeper')],
    ['pilot', 'agent', deprecatedNames.key('gateway', 'pilot')],
    ['leastKeepers', 'leastStores', deprecatedNames.key('coordinator', 'leastKeepers')],
  ] as const;
  for (const [deprecated, current, actual] of cases)
    assert.equal(actual, {
      name: current,
      warnings: [`${deprecated} is deprecated and goes in ${deprecatedNamesRemovedIn}: use ${current}`],
    });
});
test('a deprecated key keeps its value under the current name', () => {
  const checked = (role: Role, given: Record<string, unknown>): unknown => {
    const result = configSchema.options(role, deprecatedNames.settings(role, given).settings);
    return result.ok ? result.value : result.problems;
  };
  const gateway = checked('gateway', previousFiles['front']!) as { agent?: string };
  assert.is(gateway.agent, '10.0.1.1:7101');
  const coordinator = checked('coordinator', { ...previousFiles['tower'], leastKeepers: 5 }) as {
    leastStores?: number;
  };
  assert.is(coordinator.leastStores, 5);
});
test('current names are unchanged and give no warning, and a key is deprecated only for its own role', () => {
  for (const role of ['gateway', 'agent', 'coordinator', 'store', 'nosuch', 'constructor'])
    assert.equal(deprecatedNames.role(role), { name: role, warnings: [] });
  assert.equal(deprecatedNames.settings('gateway', { agent: 'x' }), { settings: { agent: 'x' }, warnings: [] });
  assert.equal(deprecatedNames.settings('store', { pilot: 'x' }), { settings: { pilot: 'x' }, warnings: [] });
});
test('a key given under both names is rejected, whichever comes first', () => {
  const { pilot, ...rest } = previousFiles['front']!;
  const agent = '10.0.9.9:7101';
  for (const given of [
    { ...rest, pilot, agent },
    { ...rest, agent, pilot },
  ]) {
    const checked = configSchema.options('gateway', deprecatedNames.settings('gateway', given).settings);
    assert.equal(checked.ok ? [] : checked.problems, [{ path: 'pilot', text: 'unknown key' }]);
  }
});
test.run();
