// The size to design for (docs/CAPACITY.md), and what a node may spend on control.

export const day = 86_400;

/** The users' figures. */
export const size = {
  nodes: 380,
  control: 19,
  workers: 12_000,
  accelerators: 24_000,
  requests: 25_000,
  tokens: 12_000_000,
  firstTokenMs: 820,
  gapMs: 66,
  programs: 290_000,
  turns: 52,
  history: 480_000,
  tenants: 300,
  models: 33,
  regions: 6,
  zones: 14,
  changes: 7_900,
  inForceMs: 6_000,
  failed: 210,
  restarted: 940,
};

/** What a node may spend on control: microseconds of a core a second, bytes, bytes a second both ways. */
export const allowed = { cpu: 27_000, memory: 32e6, bytes: 12_000 };

/** What the users did not say, and the page has to take for something. */
export const taken = {
  /** A gateway and an agent on each node; three coordinators, the other control machines are stores. */
  processes: 2 * size.nodes + size.control,
  relays: size.nodes + size.control,
  bytesPerToken: 4,
  /** At least one route a tenant; at most each tenant with each model. */
  routes: [size.tenants, size.tenants * size.models] as const,
  /** One way between two regions. */
  regionMs: 30,
  /** How long a machine is out of service. */
  minutes: [1, 10, 60] as const,
};

/** What TCP and IP put before a frame that goes by itself. */
export const header = 52;

export const perGateway = size.requests / size.nodes;

/** One turn of a program at a time: the most that run at once. */
export const running = size.programs / size.nodes;

export const turnKb = ((size.history / size.turns) * taken.bytesPerToken) / 1000;

/** The x of each measure at the size to design for. */
export const sizeOf: Record<string, number> = {
  'process': taken.processes,
  'gateway': size.nodes,
  'relay': taken.relays,
  'worker': size.workers,
  'class': size.tenants,
  'route': taken.routes[1],
  'service': size.models,
  'turn': running,
  'program': running,
  'running turn': size.programs,
  'lasting item': 2 * size.nodes,
  'claimed key': size.requests * day,
  'process lost': (2 * size.nodes) / size.zones,
  'ms one way': taken.regionMs,
  'KB of value': turnKb,
};
