// HTTP calls to the nodes of a simulated deployment, as an operator makes them.
import { apiRoot } from '@thornsail/admin-api';
import { duration, readText, type Address, type Runtime } from '@thornsail/runtime';
import type { Fleet } from './types.js';

type Calls = Pick<Fleet, 'http' | 'push'>;
const callTimeout = duration.s(8);

/** Creates the calls; configurations are pushed to `defaultNode` unless a scenario gives an address. */
export const callsOf = ({ net }: Runtime, defaultNode: Address): Calls => {
  const http: Fleet['http'] = async (address, method, path, body, headers = {}) => {
    const response = await net.request({
      at: address,
      method,
      path,
      headersTimeout: callTimeout,
      headers: { 'content-type': 'application/json', ...headers },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const text = await readText(response.body);
    return {
      status: response.status,
      headers: response.headers,
      body: text.startsWith('{') ? (JSON.parse(text) as Record<string, unknown>) : { text },
    };
  };
  return {
    http,
    push: async (config, base, id, address = defaultNode) => {
      const headers = { 'if-match': String(base), ...(id ? { 'push-id': id } : {}) };
      const { status, body } = await http(address, 'PUT', `${apiRoot}/config`, config, headers);
      return { status, mark: Number(body['mark'] ?? -1) };
    },
  };
};
