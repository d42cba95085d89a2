// Real processes under kill, freeze and loss of a data folder. Waits on events; asserts order and safety, not speed.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { time, duration } from '@thornsail/runtime';
import { realFleet } from '@thornsail/test-harness';

test('real processes serve through a kill, a freeze and a lost data folder without a breach', async () => {
  const f = await realFleet.open({ shape: 'granite', seed: 3 });
  let ended: { exits: Record<string, number | null>; bad: string[] } | undefined;
  try {
    const pause = (ms: number): Promise<void> => time.sleep(f.runtime.clock, duration.ms(ms));
    const load = f.load({ chats: 20, kept: 3, jobs: 24, overMs: 4000 });
    await pause(500);
    await f.signal('gateway-edge3', 'SIGKILL');
    await f.signal('store2', 'SIGKILL');
    f.loseDisk('store2');
    f.start(f.proc('store2'));
    f.start(f.proc('gateway-edge3'));
    await f.signal('gateway-edge4', 'SIGSTOP');
    await pause(2000);
    await f.signal('gateway-edge4', 'SIGCONT');
    await load;
    const at = f.proc('agent-edge6').http;
    await f.waitFor(
      'the emptied store in the group under a swept mark',
      async () => {
        const k = (await f.get(at, '/thornsail/v1/status')).body['keepers'] as {
          members: number;
          swept: boolean;
          mark: number;
        };
        return k.members === 3 && k.swept && k.mark >= 3;
      },
      60_000,
    );
    const push = (): ReturnType<typeof f.put> =>
      f.put(
        f.proc('gateway-edge2').http,
        '/thornsail/v1/config',
        'PATCH',
        { slots: { model: 12 } },
        { 'if-match': '1', 'push-id': 'x' },
      );
    // A 503 is an answer in doubt: the same push is repeated, and has one effect.
    let r = await push();
    for (let tries = 1; r.status === 503 && tries < 10; tries++) {
      await pause(200);
      r = await push();
    }
    assert.equal([r.status, r.body['mark']], [200, 2]);
    await f.waitFor(
      'the new configuration at every gateway',
      async () => {
        const all = await Promise.all(
          f.procs.filter((p) => p.role === 'gateway').map((p) => f.get(p.http, '/thornsail/v1/node')),
        );
        return all.every((x) => (x.body['counts'] as Record<string, number>)['config_mark'] === 2);
      },
      30_000,
    );
    await f.load({ chats: 6, kept: 1, jobs: 8, overMs: 500 });
  } finally {
    ended = await f.stop();
  }
  assert.equal([...f.breaches(), ...ended.bad], []);
  assert.ok(f.callers.summary.results > 60);
});
test.run();
