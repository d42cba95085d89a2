// Helpers that the scenarios share (§9.4): names of the processes, outcome of a run, replacement of workers, and the
// time until a deployment serves again.
import { duration, type Address, type Microseconds } from '@thornsail/runtime';
import { classifySilences, type ListedWorker, type ShapeName, type StandInWorker } from '@thornsail/test-harness';
import { apiRoot } from '@thornsail/admin-api';
import type { Fleet } from './fleet/index.js';

/** The result of a scenario: its breaches, counts and times by name, and the trace hash. */
export type Outcome = { breaches: string[]; figures: Record<string, number>; hash: string };
/** A scenario: the rule that it checks, and its run with a seed and a shape; `log` receives the nodes' log lines. */
export type Scenario = {
  rule: string;
  run: (seed: number, shape: ShapeName, log?: (line: string) => void) => Promise<Outcome>;
};

/** Names of the edge machines. */
export const edges = ['edge1', 'edge2', 'edge3', 'edge4', 'edge5', 'edge6', 'edge7'];
/** Names of the gateways, one on each edge machine. */
export const gateways = edges.map((edge) => `gateway-${edge}`);
/** Names of the stores. */
export const stores = ['store1', 'store2', 'store3'];
/** Names of the coordinators. */
export const coordinators = ['coordinator1', 'coordinator2', 'coordinator3'];
/** HTTP address of the i-th gateway, modulo their number. */
export const gatewayAddress = (deployment: Fleet, i: number): Address =>
  deployment.process(gateways[i % 7]!).options['http'] as Address;
/** Sum of a counter over all gateways. */
export const sumGatewayCounts = (deployment: Fleet, counter: string): number =>
  deployment.processes
    .filter((process) => process.role === 'gateway')
    .reduce((total, process) => total + (process.node?.counts()[counter] ?? 0), 0);
/** Names of the live processes of a role. */
export const liveProcessNames = (deployment: Fleet, role: string): string[] =>
  deployment.processes.filter((process) => process.role === role && process.host.alive).map((process) => process.name);
/** Collects the outcome of a run; `figures` are added to the common ones, or replace them. */
export const outcomeOf = (deployment: Fleet, figures: Record<string, number> = {}): Outcome => {
  const summary = deployment.callers.summary;
  return {
    breaches: deployment.breaches(),
    hash: deployment.world.hash(),
    figures: {
      turns: summary.turns,
      results: summary.results,
      cut: summary.cut,
      failed: summary.failed,
      gave_up: summary.gaveUp,
      rejected: Object.values(summary.rejected).reduce((a, b) => a + b, 0),
      held: sumGatewayCounts(deployment, 'held'),
      resumed: sumGatewayCounts(deployment, 'resumed'),
      forced: sumGatewayCounts(deployment, 'forced'),
      lost: sumGatewayCounts(deployment, 'lost'),
      slowest_ms: duration.toMs(summary.longestWait),
      late_at_workers: classifySilences(deployment.requestLog, summary.silences, deployment.shape.firstToken).atWorkers,
      worst_line: Math.max(0, ...deployment.models.map((model) => model.peak().queued)),
      ...figures,
    },
  };
};
/** Picks a random worker that has not left yet; without `follows` (a replacement follows), not the last of its kind. */
export const pickLeavingWorker = (deployment: Fleet, follows = false): ListedWorker => {
  const present = deployment.layout.workers.filter((worker) => !deployment.platform.leavingSince.has(worker.id));
  const candidates = present.filter(
    (worker) => follows || present.some((other) => other !== worker && other.kind === worker.kind),
  );
  return candidates[deployment.world.rand.int(candidates.length)]!;
};
/**
 * Removes a worker and adds the n-th replacement, of the same kind and at its own address. `leave` marks the old worker
 * on the platform's list, `drop` takes it off the list at once.
 */
export const replaceWorker = async (
  deployment: Fleet,
  old: ListedWorker,
  n: number,
  how: 'leave' | 'drop' = 'leave',
): Promise<StandInWorker> => {
  const address = `127.77.${old.kind === 'model' ? 14 : 15}.${n + 1}:7300`;
  const replacement = { id: `${old.id}b`, at: address, kind: old.kind };
  deployment.platform[how](old.id);
  const worker = await deployment.addWorker(replacement);
  deployment.platform.add(replacement);
  // The old worker ends after five seconds, in which it can finish its requests.
  deployment.world.scheduleAt(deployment.world.now() + duration.s(5), () => {
    deployment.platform.drop(old.id);
    deployment.world.kill(deployment.hostOf(old.at.split(':')[0]!), 'process');
  });
  return worker;
};
/** Runs the deployment for a period of simulated time. */
export const run = (deployment: Fleet, period: Microseconds): Promise<void> =>
  deployment.world.run(deployment.world.now() + period);
/** Changes classes of a configuration by name; the changes under `*model` apply to all classes of kind `model`. */
export const patchClasses =
  (changes: Record<string, Record<string, unknown>>) =>
  (config: Record<string, unknown>): Record<string, unknown> => {
    const classes = config['classes'] as Record<string, Record<string, unknown>>;
    for (const [pattern, change] of Object.entries(changes))
      for (const [name, workClass] of Object.entries(classes))
        if (pattern === '*model' ? workClass['kind'] === 'model' : pattern === name) Object.assign(workClass, change);
    return config;
  };
const classOf = (deployment: Fleet, kind: 'model' | 'app'): string =>
  Object.entries(deployment.shape.config['classes'] as Record<string, { kind: string }>).find(
    ([, workClass]) => workClass.kind === kind,
  )![0];
/** Whether a gateway serves a turn of a conversation, a read of that conversation, and a job. */
const servesAllRequests = async (deployment: Fleet, name: string, n: number): Promise<boolean> => {
  const address = deployment.process(name).options['http'] as Address;
  const id = `probe-${name}-${n}`;
  const messages = [{ role: 'user', content: 'probe [last]' }];
  const succeeds = async (
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ): Promise<boolean> => (await deployment.http(address, method, path, body, headers)).status === 200;
  const turnHeaders = {
    'x-thornsail-program': id,
    'x-thornsail-class': classOf(deployment, 'model'),
    'x-thornsail-conversation': id,
  };
  try {
    const job = succeeds('POST', '/v1/jobs', { id }, { 'x-thornsail-class': classOf(deployment, 'app') });
    const chat = await succeeds(
      'POST',
      '/v1/chat/completions',
      { messages, max_tokens: 8, stream: false },
      turnHeaders,
    );
    return chat && (await job) && (await succeeds('GET', `/v1/conversations/${id}`));
  } catch {
    return false;
  }
};
/** Pushes the current configuration again at a random live node; true if the push was acknowledged. */
const pushAtRandomNode = async (deployment: Fleet): Promise<boolean> => {
  const live = deployment.processes.filter((process) => process.host.alive && !process.host.frozen);
  const address = live[deployment.world.rand.int(live.length)]!.options['http'] as Address;
  try {
    const current = await deployment.http(address, 'GET', `${apiRoot}/config`);
    return (
      (
        await deployment.push(
          current.body['raw'],
          Number(current.body['mark']),
          `back-${deployment.world.now()}`,
          address,
        )
      ).status === 200
    );
  } catch {
    return false;
  }
};
/**
 * Waits until every live gateway serves all kinds of requests and a configuration push is acknowledged. Returns the
 * time that it took; reports a breach if it exceeds `limit`.
 */
export const timeUntilServing = async (deployment: Fleet, limit: Microseconds): Promise<Microseconds> => {
  const startedAt = deployment.world.now();
  const live = deployment.processes.filter(
    (process) => process.role === 'gateway' && process.host.alive && !process.host.frozen,
  );
  const serving = new Set<string>();
  let pushed = false;
  for (let n = 0; (serving.size < live.length || !pushed) && deployment.world.now() - startedAt < limit; n++) {
    for (const gateway of live)
      if (!serving.has(gateway.name))
        void servesAllRequests(deployment, gateway.name, n).then(
          (succeeded) => void (succeeded && serving.add(gateway.name)),
        );
    if (!pushed) void pushAtRandomNode(deployment).then((succeeded) => void (pushed ||= succeeded));
    await run(deployment, duration.ms(250));
  }
  const missing = [
    ...live.filter((process) => !serving.has(process.name)).map((process) => process.name),
    ...(pushed ? [] : ['a push']),
  ];
  if (missing.length)
    deployment.reportedBreaches.push(`not serving again within ${duration.toMs(limit)} ms: ${missing.join(', ')}`);
  return deployment.world.now() - startedAt;
};
/** Waits until all callers of a load have ended; reports a breach after 90 seconds. */
export const waitForLoad = async (deployment: Fleet, load: { done: () => boolean }): Promise<void> => {
  await deployment.until('the load to end', load.done, duration.s(90));
};

/** Resolves after a period of simulated time. */
export const sleep = (deployment: Fleet, period: Microseconds): Promise<void> =>
  new Promise((resolve) => {
    deployment.world.scheduleAt(deployment.world.now() + period, resolve);
  });
