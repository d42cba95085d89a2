// The design size (docs/CAPACITY.md), and the resources that a node may spend on control.

/** Seconds of a day. */
export const day = 86_400;

/** The required size: machines, requests and tokens a second, changes, failures and restarts a day. */
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

/** Limits of a node for control: µs of processor time a second, bytes of memory, bytes a second both ways. */
export const allowed = { cpu: 27_000, memory: 32e6, bytes: 12_000 };

/** Assumptions for what the requirements leave open. */
export const taken = {
  /** A gateway and an agent on each node; of the control machines three are coordinators and the others stores. */
  processes: 2 * size.nodes + size.control,
  relays: size.nodes + size.control,
  bytesPerToken: 4,
  /** At least one route per tenant; at most one per tenant and model. */
  routes: [size.tenants, size.tenants * size.models] as const,
  /** One-way delay between two regions. */
  regionMs: 30,
  /** Possible downtimes of a failed machine. */
  minutes: [1, 10, 60] as const,
};

/** Bytes of TCP and IP headers of a frame that is sent alone. */
export const header = 52;

/** Requests a second at each gateway. */
export const perGateway = size.requests / size.nodes;

/** Maximum of concurrent turns at each gateway: a program has one turn at a time. */
export const running = size.programs / size.nodes;

/** Mean size of one turn of a conversation in KB. */
export const turnKb = ((size.history / size.turns) * taken.bytesPerToken) / 1000;

/** The design size in each quantity that slopes grow with. */
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
