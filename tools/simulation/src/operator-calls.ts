// Operator calls that the scenarios share (§9.4): pushes of configurations, and a check that acknowledged ones apply.
import { apiRoot } from '@thornsail/admin-api';
import { type Address, type Microseconds, duration } from '@thornsail/runtime';
import type { Fleet } from './fleet/index.js';
import { gatewayAddress } from './scenario-support.js';

/** Runs `run` once `after` microseconds of simulated time have passed. */
export const runAfter = (deployment: Fleet, after: Microseconds, run: () => void): void =>
  deployment.world.scheduleAt(deployment.world.now() + after, run);

/** Name of the coordinator that considers itself the leader; `coordinator1` if there is none. */
export const leaderName = (deployment: Fleet): string =>
  deployment.processes.find((process) => process.role === 'coordinator' && process.node?.counts()['leads'] === 1)
    ?.name ?? 'coordinator1';

/** The n-th of distinguishable configurations: it has a class `only-n`, which exists only while it is in use. */
const numberedConfig = (deployment: Fleet, n: number): Record<string, unknown> => ({
  ...deployment.shape.config,
  classes: { ...(deployment.shape.config['classes'] as object), [`only-${n}`]: { kind: 'app', weight: 1 } },
});

/** An acknowledged push: `n` numbers its configuration, `mark` is the version that it got. */
export type AcknowledgedPush = { n: number; mark: number; acknowledgedAt: Microseconds };

/**
 * Creates an operator that pushes the next configuration at an address, based on the version read there, and appends
 * acknowledged pushes to a list.
 */
export const openOperator = (
  deployment: Fleet,
  acknowledged: AcknowledgedPush[],
): ((address: Address) => Promise<void>) => {
  let count = 0;
  return async (address) => {
    const n = ++count;
    try {
      const current = await deployment.http(address, 'GET', `${apiRoot}/config`);
      if (current.status !== 200) return;
      const result = await deployment.push(
        numberedConfig(deployment, n),
        Number(current.body['mark']),
        `op-${n}`,
        address,
      );
      if (result.status === 200) acknowledged.push({ n, mark: result.mark, acknowledgedAt: deployment.world.now() });
    } catch {
      /* The outcome is unknown: the push may have taken effect. */
    }
  };
};

/**
 * Checks that a gateway uses the newest configuration acknowledged more than two seconds ago, or a newer one: reports a
 * breach if it still serves the class of an older one.
 */
export const checkNewestConfigInUse = async (
  deployment: Fleet,
  acknowledged: AcknowledgedPush[],
  gateway: string,
): Promise<void> => {
  const sentAt = deployment.world.now();
  const newest = acknowledged
    .filter((push) => sentAt - push.acknowledgedAt > duration.s(2))
    .sort((a, b) => b.mark - a.mark)[0];
  const older = acknowledged.filter((push) => newest && push.mark < newest.mark);
  if (!newest || older.length === 0) return;
  const former = older[older.length - 1]!;
  const address = deployment.process(gateway).options['http'] as Address;
  const response = await deployment
    .http(address, 'POST', '/v1/jobs', {}, { 'x-thornsail-class': `only-${former.n}` })
    .catch(() => undefined);
  if (response?.status === 200)
    deployment.reportedBreaches.push(
      `${gateway} served a request by configuration ${former.mark}, ` +
        `${duration.toMs(sentAt - newest.acknowledgedAt)} ms after ${newest.mark} was acknowledged`,
    );
};

/** Reads the configuration at the first gateway; its version (`mark`), -1 if the read fails. */
export const readConfigMark = async (deployment: Fleet): Promise<{ mark: number }> => {
  const result: { mark?: number } = {};
  void deployment.http(gatewayAddress(deployment, 0), 'GET', `${apiRoot}/config`).then(
    (response) => (result.mark = Number(response.body['mark'])),
    () => (result.mark = -1),
  );
  await deployment.until('a read of the configuration', () => result.mark !== undefined, duration.s(10));
  return { mark: result.mark ?? -1 };
};
