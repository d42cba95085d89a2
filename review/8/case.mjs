// Turns with long inputs, within the limits of the configuration, at fewer turns a second than the sheet has.
import { call, newId, runCase, sleep, turnHeaders } from '../lib-2/deployment.mjs';

const trouble = process.env.TROUBLE !== '0';
/** Bytes of a turn's input: within MaxBodyBytes (4,194,304); without trouble the usual size of the sheet. */
const inputBytes = trouble ? 400_000 : 17_000;
const turnsPerSecond = 10;
const seconds = 85;

await runCase(import.meta.dirname, async ({ record, open }) => {
  const deployment = await open({ edges: 3, stores: 3, cores: 3, models: 4, apps: 2 });
  if (!(await deployment.configure())) throw new Error('the deployment did not start');
  record(`serving; inputs of ${inputBytes} bytes, ${turnsPerSecond} turns a second for ${seconds} s`);
  const body = Buffer.alloc(inputBytes, 'x');
  const counts = {};
  const pending = new Set();
  const begin = Date.now();
  for (let n = 0; Date.now() - begin < seconds * 1000; n++) {
    const attempt = newId();
    const sent = call({
      at: deployment.fronts[n % deployment.fronts.length],
      method: 'POST',
      target: '/rule-check/x',
      headers: turnHeaders({ attempt, program: `p${attempt}`, prompt: 14_280 }),
      body,
      timeoutMs: 3500,
    }).then(({ status, ms }) => {
      counts[status] = (counts[status] ?? 0) + 1;
      record(`TURN ${attempt} ${status} ${ms} ms`);
      pending.delete(sent);
    });
    pending.add(sent);
    await sleep(1000 / turnsPerSecond);
  }
  await Promise.all(pending);
  const byName = {};
  for (const { name, asked } of deployment.ends) if (!asked) byName[name] = (byName[name] ?? 0) + 1;
  record(`turns by status ${JSON.stringify(counts)}; ends that nobody asked for ${JSON.stringify(byName)}`);
  const machines = Object.values(byName).filter((ends) => ends >= 3).length;
  record(`machines on which a process ended by itself three times or more: ${machines}`);
  return machines >= 2 ? 1 : 0;
});
