// Usage: node tools/simulation/src/measurement/hollow-cli.js EDGES SECONDS
// Runs hollow nodes on real sockets in this process and prints their resource usage as JSON (docs/CAPACITY.md).
// The process exits with status 3 after 90 s at the latest.
import { duration } from '@thornsail/runtime';
import { runOnRealSockets } from './hollow.js';

setTimeout(() => process.exit(3), 90_000).unref();
const [edges, seconds] = process.argv.slice(2).map(Number);
process.stdout.write(`${JSON.stringify(await runOnRealSockets(edges ?? 1, duration.s(seconds ?? 5)))}\n`);
process.exit(0);
