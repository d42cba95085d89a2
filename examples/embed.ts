/**
 * A gateway program with the data plane of thornsail in it.
 *
 *   npm run build && node examples/embed.js 127.0.0.1:7201 127.0.0.1:7202 127.0.0.1:7101
 *
 * The arguments are its address for other nodes, its address for HTTP, and the address of the agent on its machine.
 */
import http from 'node:http';
import { embed } from '@thornsail/thornsail';

const [place, httpAddress, agent] = process.argv.slice(2);
if (!place || !httpAddress || !agent) throw new Error('three addresses are needed');
const gateway = await embed.open({ name: 'embedded', place, http: httpAddress, agent, seeds: [agent] });
const server = http.createServer((req, res) => gateway.handler(req, res, () => res.end('your own program\n')));
const [host, port] = httpAddress.split(':');
server.listen(Number(port), host);
process.once('SIGTERM', () => {
  server.close();
  void gateway
    .drain()
    .then(() => gateway.close())
    .then(() => process.exit(0));
});
