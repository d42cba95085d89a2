// Runs the example of a custom gateway program in a real fleet (§1.1): its own path, a turn, and a clean exit.
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, readText } from '@thornsail/runtime';
import { processFleet } from '@thornsail/test-harness';

test('examples/embed serves its own path and turns of programs, and exits cleanly', async () => {
  const fleet = await processFleet.open({ shape: 'granite', seed: 4 });
  const host = fleet.process('gateway-edge2').http.split(':')[0]!;
  const at = `${host}:7302`;
  const agent = String(fleet.process('agent-edge2').options['place']);
  const file = fileURLToPath(new URL('../../../examples/embed.js', import.meta.url));
  const child = spawn(process.execPath, [file, `${host}:7301`, at, agent], { stdio: ['ignore', 'ignore', 'pipe'] });
  let stderr = '';
  child.stderr.on('data', (data: Buffer) => (stderr += data.toString()));
  const exit = new Promise<number | null>((resolve) => child.on('close', resolve));
  let stopped: { problems: string[] } | undefined;
  try {
    const call = async (method: string, path: string, headers = {}, body?: string): Promise<[number, string]> => {
      const response = await fleet.runtime.net.request({
        at,
        method,
        path,
        headers,
        headersTimeout: duration.s(8),
        ...(body ? { body } : {}),
      });
      return [response.status, await readText(response.body)];
    };
    await fleet.waitFor('the embedded gateway is ready', async () => (await call('GET', '/ready'))[0] === 200, 30_000);
    assert.equal(await call('GET', '/hello'), [200, 'your own program\n']);
    const turnHeaders = {
      'content-type': 'application/json',
      'x-thornsail-program': 'mine',
      'x-thornsail-class': 'diagnose',
    };
    const turn = JSON.stringify({ messages: [{ role: 'user', content: 'hi [last]' }], max_tokens: 8, stream: false });
    const [status, text] = await call('POST', '/v1/chat/completions', turnHeaders, turn);
    assert.is(status, 200);
    assert.match(text, /"role":"assistant"/);
    const nodes = (await fleet.get(fleet.process('agent-edge5').http, '/thornsail/v1/nodes')).body['nodes'] as {
      name: string;
    }[];
    assert.ok(
      nodes.some((node) => node.name === 'embedded'),
      'the node list contains the embedded gateway',
    );
    assert.is((await call('GET', '/thornsail/v1/marks'))[0], 200);
    child.kill('SIGTERM');
    assert.is(await exit, 0, stderr);
  } finally {
    child.kill('SIGKILL');
    stopped = await fleet.stop();
  }
  assert.equal([...fleet.breaches(), ...stopped.problems], []);
});
test.run();
