// A process takes SIGHUP last of its signals: Node.js itself catches SIGTERM from its start, so only SIGHUP shows that
// the program takes them all (guards against a SIGTERM that ends a process between the two, which looked ready).
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const stallMs = 150;
/** Takes the signals slowly, one after the other, and ends with status 0 a second later. */
const program = `
const stall = () => { const until = performance.now() + ${stallMs}; while (performance.now() < until); };
process.on('newListener', (name) => { if (name.startsWith('SIG')) stall(); });
await import('@thornsail/runtime/signals');
setTimeout(() => process.exit(0), 1000);
`;
const signalBits = { SIGHUP: 1n << 0n, SIGTERM: 1n << 14n };
const catches = (pid: number, signal: keyof typeof signalBits): boolean => {
  const mask = /^SigCgt:\s+([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0';
  return (BigInt(`0x${mask}`) & signalBits[signal]) !== 0n;
};
const turn = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 1));

test('a process that catches SIGHUP is not ended by a SIGTERM', async () => {
  const child = spawn(process.execPath, ['--input-type=module', '--eval', program], { stdio: 'ignore' });
  const ended = new Promise<[number | null, NodeJS.Signals | null]>((resolve) =>
    child.on('close', (code, signal) => resolve([code, signal])),
  );
  while (!catches(child.pid!, 'SIGHUP')) await turn();
  child.kill('SIGTERM');
  assert.equal(await ended, [0, null]);
});
test.run();
