// The disks of a rolling upgrade: this release reads the data folders of the previous release, and its API then gives
// operators the same answers. `fixtures/disks-of-release-0.1.json` holds the files of three coordinators and three
// stores of a real fleet of that release, killed under load, and the answers of its API just before.
import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, readText, type Runtime } from '@thornsail/runtime';
import { roles } from '@thornsail/thornsail';
import { world, type World } from '@thornsail/simulation';

type Recorded = {
  disks: Record<string, Record<string, string>>;
  api: Record<'programs' | 'registers' | 'nodes' | 'status' | 'keepers', Record<string, unknown>>;
};
// Read from the sources: the build does not copy it.
const recorded = JSON.parse(
  readFileSync(new URL('./fixtures/disks-of-release-0.1.json', import.meta.url), 'utf8'),
) as Recorded;

const network = '127.181';
/** The address that each machine of the recorded fleet had; the last number is its own. */
const machines = Object.keys(recorded.disks).map((name) => {
  const number = Number(name.slice(-1));
  const role = name.startsWith('tower') ? ('coordinator' as const) : ('store' as const);
  return { name, role, host: `${network}.${role === 'coordinator' ? 3 : 2}.${number}`, zone: `z${number}` };
});
const founders = [1, 2, 3].map((number) => `${network}.3.${number}:7101`);
/** When the recorded fleet was killed, by its own wall clock: the newest time in its registers. */
const recordedAt = Math.max(
  ...[...JSON.stringify(recorded.disks).matchAll(/touched\\+":(\d{16})/g)].map((match) => Number(match[1])),
);

const startAll = (simulation: World): Runtime => {
  for (const machine of machines) {
    const host = simulation.host(machine.host, machine.zone);
    const runtime = simulation.runtime(host);
    host.clockSkew += recordedAt + duration.s(5) - runtime.clock.wallTime();
    for (const [file, text] of Object.entries(recorded.disks[machine.name]!)) host.files.set(file, text);
    const options = {
      name: machine.name,
      place: `${machine.host}:7101`,
      http: `${machine.host}:7102`,
      zone: machine.zone,
      seeds: [founders[0]!],
      data: 'data',
      dataMb: 1000,
      beatMs: 200,
    };
    if (machine.role === 'store') void roles.store(runtime, options);
    else void roles.coordinator(runtime, { ...options, founders, possibleFounders: [], tolerates: 1, leastStores: 0 });
  }
  return simulation.runtime(simulation.host('127.181.9.9', 'z1'));
};
const answerOf = async (simulation: World, client: Runtime, path: string): Promise<Record<string, unknown>> => {
  let answer: Record<string, unknown> | undefined;
  void client.net
    .request({ at: `${network}.2.1:7102`, method: 'GET', path: `/thornsail/v1/${path}`, headersTimeout: duration.s(5) })
    .then(async (response) => {
      answer = JSON.parse(await readText(response.body)) as Record<string, unknown>;
    });
  await simulation.run(simulation.now() + duration.s(6));
  assert.ok(answer, `${path} was not answered`);
  return answer;
};
const startUpgraded = async (): Promise<{ simulation: World; client: Runtime }> => {
  const simulation = world.open({
    seed: 7,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.181.9.9',
  });
  const client = startAll(simulation);
  await simulation.run(duration.s(5));
  return { simulation, client };
};

test('nodes started on disks of the previous release have its configuration, budgets and registers', async () => {
  const { simulation, client } = await startUpgraded();
  const config = await answerOf(simulation, client, 'config');
  assert.is(config['mark'], 2);
  const programs = await answerOf(simulation, client, 'programs');
  assert.equal(programs['programs'], recorded.api.programs['programs']);
  type Row = { key: string; kind: string; members: number };
  const rows = (answer: Record<string, unknown>): Row[] =>
    (answer['registers'] as Row[]).map(({ key, kind, members }) => ({ key, kind, members }));
  const registers = await answerOf(simulation, client, 'registers?limit=500');
  assert.equal(rows(registers), rows(recorded.api.registers));
});

test('the store group and the nodes of the previous release keep their ids and roles after an upgrade', async () => {
  const { simulation, client } = await startUpgraded();
  const group = await answerOf(simulation, client, 'keepers');
  const ids = (answer: Record<string, unknown>): string[] =>
    (answer['members'] as { id: string }[]).map((member) => member.id);
  assert.equal(ids(group), ids(recorded.api.keepers));
  type Node = { id: string; role: string; place: string };
  const coreNodes = (answer: Record<string, unknown>): Node[] =>
    (answer['nodes'] as Node[])
      .filter((node) => node.role === 'tower' || node.role === 'keeper')
      .map(({ id, role, place }) => ({ id, role, place }));
  assert.is(coreNodes(recorded.api.nodes).length, 6);
  assert.equal(coreNodes(await answerOf(simulation, client, 'nodes')), coreNodes(recorded.api.nodes));
});
test.run();
