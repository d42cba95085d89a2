/**
 * The data plane inside another HTTP server, in one call (§1.1): a gateway of the cluster that uses the agent on the
 * same machine and is served by the HTTP server of the embedding program.
 */
import { configSchema, deprecatedNames } from '@thornsail/config-schema';
import { fault, real, type HttpHandler, type Runtime, type RequestListener } from '@thornsail/runtime';
import { apiRoot } from '@thornsail/admin-api';
import { roles } from './roles.js';

/** As the settings of `thornsail gateway` (docs/CONFIG.md); `http` is the address of the embedding program's server. */
export type EmbedOptions = {
  name: string;
  place: string;
  http: string;
  agent: string;
  zone?: string;
  seeds?: string[];
};
/** A gateway that runs inside another program. */
export type EmbeddedGateway = {
  /** For `http.createServer`, `polka().use` and similar; must come before middleware that reads request bodies. */
  handler: RequestListener;
  ready: () => { ok: boolean; why: string[] };
  /** Stops accepting requests, completes those that run, and leaves the cluster. */
  drain: () => Promise<void>;
  close: () => Promise<void>;
};

const maxBodyBytes = 8 << 20;
/** Whether the gateway serves a path; other paths are left to the embedding program. */
const isServedPath = (path: string): boolean =>
  ['/v1/chat/completions', '/v1/jobs', '/ready', '/metrics'].includes(path) ||
  path.startsWith('/v1/conversations/') ||
  path.startsWith(`${apiRoot}/`);

/** Opens embedded gateways. Throws a fault with step `embed` if the options are invalid. */
export const embed = {
  open: async (options: EmbedOptions, runtime: Runtime = real.runtime('/nonexistent')): Promise<EmbeddedGateway> => {
    const { settings, warnings } = deprecatedNames.settings('gateway', options);
    for (const warning of warnings) runtime.log('embed')(warning);
    const checked = configSchema.options('gateway', settings);
    if (!checked.ok)
      throw fault.make(
        { step: 'embed' },
        checked.problems.map((problem) => `${problem.path}: ${problem.text}`).join('; '),
      );
    const captured: { handler?: HttpHandler } = {};
    const captureHandler: Runtime['net']['serveHttp'] = (at, handler) => {
      captured.handler = handler;
      return Promise.resolve({ at, close: () => Promise.resolve() });
    };
    const node = await roles.gateway({ ...runtime, net: { ...runtime.net, serveHttp: captureHandler } }, checked.value);
    return {
      handler: real.requestListener(captured.handler!, maxBodyBytes, isServedPath),
      ready: node.ready,
      drain: node.drain,
      close: node.close,
    };
  },
};
