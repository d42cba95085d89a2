// The data plane in a gateway program of one's own, in one call (§1.1): a gateway of the fleet beside the agent on the
// same machine, served by whatever HTTP server the program already has.
import { configSchema, deprecatedNames } from '@thornsail/config-schema';
import { fault, real, type HttpHandler, type Runtime, type RequestListener } from '@thornsail/runtime';
import { root } from '@thornsail/admin-api';
import { roles } from './roles.js';

/** As the settings of `thornsail gateway` (docs/CONFIG.md). `http` is where the program's own server is reached. */
export type EmbedOptions = {
  name: string;
  place: string;
  http: string;
  agent: string;
  zone?: string;
  seeds?: string[];
};
export type Embedded = {
  /** For `http.createServer`, `polka().use` and their like; mount it before anything that reads bodies. */
  handler: RequestListener;
  ready: () => { ok: boolean; why: string[] };
  /** Takes nothing new, finishes what runs, leaves the roster. */
  drain: () => Promise<void>;
  close: () => Promise<void>;
};

const largestBody = 8 << 20;
/** The paths that are thornsail's; a program's own ones are passed on. */
const ours = (path: string): boolean =>
  ['/v1/chat/completions', '/v1/jobs', '/ready', '/metrics'].includes(path) ||
  path.startsWith('/v1/conversations/') ||
  path.startsWith(`${root}/`);

export const embed = {
  open: async (o: EmbedOptions, runtime: Runtime = real.runtime('/nonexistent')): Promise<Embedded> => {
    const { settings, warnings } = deprecatedNames.settings('gateway', o);
    for (const warning of warnings) runtime.log('embed')(warning);
    const c = configSchema.options('gateway', settings);
    if (!c.ok) throw fault.make({ step: 'embed' }, c.problems.map((p) => `${p.path}: ${p.text}`).join('; '));
    const given: { handler?: HttpHandler } = {};
    const serve: Runtime['net']['serveHttp'] = (at, handler) => {
      given.handler = handler;
      return Promise.resolve({ at, close: () => Promise.resolve() });
    };
    const node = await roles.gateway({ ...runtime, net: { ...runtime.net, serveHttp: serve } }, c.value);
    return {
      handler: real.requestListener(given.handler!, largestBody, ours),
      ready: node.ready,
      drain: node.drain,
      close: node.close,
    };
  },
};
