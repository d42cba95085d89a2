// Calls to the nodes of a simulated deployment, as an operator makes them.
import { apiRoot } from '@thornsail/admin-api';
import { duration, readText, type Address, type Runtime } from '@thornsail/runtime';
import type { Fleet } from './types.js';

type Calls = Pick<Fleet, 'http' | 'push'>;
const callTimeout = duration.s(8);

/** `usual` is the node that a configuration is pushed to when a scenario names none. */
export const callsOf = ({ net }: Runtime, usual: Address): Calls => {
  const http: Fleet['http'] = async (at, method, path, body, headers = {}) => {
    const response = await net.request({
      at,
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
    push: async (config, base, id, at = usual) => {
      const headers = { 'if-match': String(base), ...(id ? { 'push-id': id } : {}) };
      const { status, body } = await http(at, 'PUT', `${apiRoot}/config`, config, headers);
      return { status, mark: Number(body['mark'] ?? -1) };
    },
  };
};
