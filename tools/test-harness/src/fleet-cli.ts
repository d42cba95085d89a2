// The stand-in workers are small (--capacity, in tokens), so that programs are paused and turns are held.
// npm run fleet -- --shape lautoka|granite [--seed N] [--capacity N] [--chats N] [--kept N]
//   [--jobs N] [--seconds N] [--faults kill,freeze,disk,config,leave]
import { time, duration } from '@thornsail/runtime';
import { realFleet } from './fleet.js';
import type { ShapeName } from './shapes.js';

const out = (t: string): void => void process.stdout.write(`${t}\n`);
const wrong = (t: string): never => {
  process.stderr.write(`fleet: ${t}\n`);
  process.exit(2);
};
const given: Record<string, string> = {
  shape: 'lautoka',
  seed: '1',
  chats: '160',
  kept: '16',
  jobs: '80',
  seconds: '14',
  faults: '',
  capacity: '',
};
for (let i = 2; i < process.argv.length; i += 2) {
  const k = process.argv[i]!.replace(/^--/, '');
  if (!Object.hasOwn(given, k) || process.argv[i + 1] === undefined)
    wrong(`unknown or incomplete flag ${process.argv[i]}`);
  given[k] = process.argv[i + 1]!;
}
if (given['shape'] !== 'lautoka' && given['shape'] !== 'granite') wrong('--shape: lautoka or granite');
for (const k of ['seed', 'chats', 'kept', 'jobs', 'seconds', 'capacity'])
  if (!/^\d+$/.test(given[k]!) && !(k === 'capacity' && given[k] === '')) wrong(`--${k}: a whole number is needed`);
const faults = given['faults']!.split(',').filter(Boolean);
for (const x of faults)
  if (!['kill', 'freeze', 'disk', 'config', 'leave', 'coordinator'].includes(x)) wrong(`--faults: no fault ${x}`);

const f = await realFleet.open({
  shape: given['shape'] as ShapeName,
  seed: Number(given['seed']),
  say: out,
  capacity: Number(given['capacity'] || (given['shape'] === 'lautoka' ? 400 : 750)),
});
let code = 1;
try {
  out(`fleet of ${f.procs.length} processes is ready (${given['shape']}).`);
  const span = Number(given['seconds']) * 1000;
  const load = f.load({
    chats: Number(given['chats']),
    kept: Number(given['kept']),
    jobs: Number(given['jobs']),
    overMs: span,
  });
  const wait = (ms: number): Promise<void> => time.sleep(f.runtime.clock, duration.ms(ms));
  for (const x of faults) {
    await wait(span / (faults.length + 1) / 2);
    out(`fault: ${x}`);
    if (x === 'kill') {
      await f.signal('gateway-edge3', 'SIGKILL');
      await f.signal('agent-edge3', 'SIGKILL');
      await wait(500);
      f.start(f.proc('agent-edge3'));
      f.start(f.proc('gateway-edge3'));
    }
    if (x === 'freeze') {
      await f.signal('gateway-edge4', 'SIGSTOP');
      await wait(2500);
      await f.signal('gateway-edge4', 'SIGCONT');
    }
    if (x === 'disk') {
      await f.signal('store2', 'SIGKILL');
      f.loseDisk('store2');
      await wait(300);
      f.start(f.proc('store2'));
    }
    if (x === 'coordinator') {
      await f.signal('coordinator1', 'SIGKILL');
      await wait(1500);
      f.start(f.proc('coordinator1'));
    }
    if (x === 'leave') f.platform.leave(f.layout.workers[0]!.id);
    if (x === 'config') {
      const r = await f.put(
        f.proc('gateway-edge2').http,
        '/thornsail/v1/config',
        'PATCH',
        { scheduler: { intervalSeconds: 4 } },
        { 'if-match': '1', 'push-id': 'second' },
      );
      out(`configuration push at a gateway: ${r.status} ${JSON.stringify(r.body)}`);
    }
  }
  await load;
  const c = await f.nodeCounts();
  const s = f.callers.summary;
  if (faults.includes('disk'))
    await f.waitFor(
      'the emptied store takes a place in the group',
      async () => {
        const r = await f.get(f.proc('agent-edge1').http, '/thornsail/v1/status');
        const k = r.body['keepers'] as { members: number; swept: boolean; mark: number };
        return k.members === 3 && k.swept && k.mark >= 3;
      },
      30_000,
    );
  out(
    `turns ${s.turns}, results ${s.results}, chats ${s.chats}, kept ${s.kept} (read back ${s.recalled}), ` +
      `jobs ${s.jobs}`,
  );
  out(
    `held ${c['held'] ?? 0}, resumed ${c['resumed'] ?? 0}, forced ${c['forced'] ?? 0}, paused ${c['paused'] ?? 0}, ` +
      `rejected ${JSON.stringify(s.rejected)}, cut ${s.cut}, failed ${s.failed}, gave up ${s.gaveUp}`,
  );
  out(
    `budget: rejected ${c['budget_rejected'] ?? 0}, lost turns ${c['lost'] ?? 0}; ` +
      `registers: ${c['register_rounds'] ?? 0} full rounds, ${c['register_quick'] ?? 0} quick`,
  );
  const st = await f.get(f.proc('coordinator2').http, '/thornsail/v1/status');
  out(`status: ${JSON.stringify(st.body)}`);
} finally {
  const ended = await f.stop();
  const all = [...f.breaches(), ...ended.bad];
  out(`breaches ${all.length}`);
  for (const b of all.slice(0, 20)) out(`  ${b}`);
  code = all.length ? 1 : 0;
}
process.exit(code);
