// A gateway program of your own with thornsail's data plane in it.
// npm run build && node examples/embed.js 127.0.0.1:7201 127.0.0.1:7202 127.0.0.1:7101
// (its place for siblings, its place for HTTP, the place of the agent beside it)
import http from 'node:http';
import { embed } from '@thornsail/thornsail';

const [place, at, agent] = process.argv.slice(2);
if (!place || !at || !agent) throw new Error('three addresses are needed');
const lanes = await embed.open({ name: 'embedded', place, http: at, agent, seeds: [agent] });
const server = http.createServer((req, res) => lanes.handler(req, res, () => res.end('your own program\n')));
const [host, port] = at.split(':');
server.listen(Number(port), host);
process.once('SIGTERM', () => {
  server.close();
  void lanes
    .drain()
    .then(() => lanes.close())
    .then(() => process.exit(0));
});
