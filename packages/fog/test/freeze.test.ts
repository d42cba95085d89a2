import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { us, type Place } from '@thornsail/lens';
import { fleet } from '@thornsail/fog';

test('an edge that slept while workers left, and heard nothing of it, asks for news before it sends', async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const f = await fleet.open({ seed, shape: 'granite' });
    const at = f.proc('front-edge2').options['http'] as Place;
    const job = (i: number): void => void f.http(at, 'POST', '/v1/jobs', { i }, { 'x-thornsail-class': 'status', 'x-thornsail-time-left-ms': '9000' }).catch(() => undefined);
    f.freeze('front-edge2', us.s(6));
    const heal = f.cut(['front-edge2'], f.procs.filter((p) => p.name !== 'front-edge2').map((p) => p.name));
    await f.w.run(f.w.now() + us.ms(200));
    for (const x of f.layout.workers.filter((y) => y.kind === 'app').slice(0, 2)) f.platform.leave(x.id);
    await f.w.run(f.w.now() + us.ms(5700));
    heal();
    const before = f.ledger.entries.length;
    // These are read in the moment of waking, before any news can have come.
    for (let i = 0; i < 12; i++) job(i);
    await f.w.run(f.w.now() + us.s(3));
    assert.equal(f.breaches(), [], `seed ${seed}`);
    assert.is(f.proc('front-edge2').node!.counts()['freezes'], 1);
    assert.ok(f.ledger.entries.length > before, 'no job was served at all');
  }
});
test.run();
