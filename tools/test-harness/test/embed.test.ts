// The example of a gateway program of one's own, run beside a real fleet (§1.1): its own path, a turn, an orderly end.
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, readText } from '@thornsail/runtime';
import { realFleet } from '@thornsail/test-harness';

test('examples/embed serves its own path and turns of programs, and ends in order', async () => {
  const f = await realFleet.open({ shape: 'granite', seed: 4 });
  const host = f.proc('gateway-edge2').http.split(':')[0]!;
  const at = `${host}:7302`;
  const agent = String(f.proc('agent-edge2').options['place']);
  const file = fileURLToPath(new URL('../../../examples/embed.js', import.meta.url));
  const child = spawn(process.execPath, [file, `${host}:7301`, at, agent], { stdio: ['ignore', 'ignore', 'pipe'] });
  let err = '';
  child.stderr.on('data', (d: Buffer) => (err += d.toString()));
  const exit = new Promise<number | null>((done) => child.on('close', done));
  let ended: { bad: string[] } | undefined;
  try {
    const call = async (method: string, path: string, headers = {}, body?: string): Promise<[number, string]> => {
      const r = await f.runtime.net.request({
        at,
        method,
        path,
        headers,
        headersTimeout: duration.s(8),
        ...(body ? { body } : {}),
      });
      return [r.status, await readText(r.body)];
    };
    await f.waitFor('the embedded gateway to be ready', async () => (await call('GET', '/ready'))[0] === 200, 30_000);
    assert.equal(await call('GET', '/hello'), [200, 'your own program\n']);
    const head = { 'content-type': 'application/json', 'x-thornsail-program': 'mine', 'x-thornsail-class': 'diagnose' };
    const turn = JSON.stringify({ messages: [{ role: 'user', content: 'hi [last]' }], max_tokens: 8, stream: false });
    const [status, text] = await call('POST', '/v1/chat/completions', head, turn);
    assert.is(status, 200);
    assert.match(text, /"role":"assistant"/);
    const nodes = (await f.get(f.proc('agent-edge5').http, '/thornsail/v1/nodes')).body['nodes'] as { name: string }[];
    assert.ok(
      nodes.some((n) => n.name === 'embedded'),
      'operators see it as a front of the fleet',
    );
    assert.is((await call('GET', '/thornsail/v1/marks'))[0], 200);
    child.kill('SIGTERM');
    assert.is(await exit, 0, err);
  } finally {
    child.kill('SIGKILL');
    ended = await f.stop();
  }
  assert.equal([...f.breaches(), ...ended.bad], []);
});
test.run();
