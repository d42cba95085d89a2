// The data plane in a front program of one's own, in one call (§1.1): a front of the fleet beside the pilot on the
// same machine, served by whatever HTTP server the program already has.
import { chart } from '@thornsail/config-schema';
import { fault, real, type HttpHandler, type Lens, type Listener } from '@thornsail/runtime';
import { root } from '@thornsail/admin-api';
import { roles } from './roles.js';

/** As the settings of `thornsail front` (docs/CONFIG.md). `http` is where the program's own server is reached. */
export type EmbedOptions = {
  name: string;
  place: string;
  http: string;
  pilot: string;
  zone?: string;
  seeds?: string[];
};
export type Embedded = {
  /** For `http.createServer`, `polka().use` and their like; mount it before anything that reads bodies. */
  handler: Listener;
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
  open: async (o: EmbedOptions, lens: Lens = real.lens('/nonexistent')): Promise<Embedded> => {
    const c = chart.options('front', o);
    if (!c.ok) throw fault.make({ step: 'embed' }, c.problems.map((p) => `${p.path}: ${p.text}`).join('; '));
    const given: { handler?: HttpHandler } = {};
    const serve: Lens['net']['serve'] = async (at, handler) => {
      given.handler = handler;
      return { at, close: async () => undefined };
    };
    const node = await roles.front({ ...lens, net: { ...lens.net, serve } }, c.value);
    return {
      handler: real.listener(given.handler!, largestBody, ours),
      ready: node.ready,
      drain: node.drain,
      close: node.close,
    };
  },
};
