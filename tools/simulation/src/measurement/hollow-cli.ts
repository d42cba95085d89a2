// Usage: node tools/simulation/src/measurement/hollow-cli.js EDGES SECONDS
// Hollow nodes on real sockets, in a process of their own that ends
// by itself (docs/CAPACITY.md).
import { duration } from '@thornsail/runtime';
import { realHollow } from './hollow.js';

setTimeout(() => process.exit(3), 90_000).unref();
const [edges, seconds] = process.argv.slice(2).map(Number);
process.stdout.write(`${JSON.stringify(await realHollow(edges ?? 1, duration.s(seconds ?? 5)))}\n`);
process.exit(0);
