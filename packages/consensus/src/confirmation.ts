/** Confirmation by the gateways that a configuration is in use (§7.2). */
import { duration, time, type Clock, type Microseconds } from '@thornsail/runtime';
import type { NodeEntry, AgreedState } from './agreed-state.js';

/** Whether enough gateways use a configuration; if not, the names of those not known to use it. */
export type Confirmation = { ok: true } | { ok: false; gateways: string[] };
/** The version of the configuration that a gateway reports to use, by the gateway's id. */
export type UsedVersion = (gatewayId: string) => number;

/** A gateway that has been dead for this long is not counted: it cannot still be serving behind a partition. */
const deadGatewayExpiry = duration.s(600);
/** Below the timeout of a node's request to a coordinator; the client repeats the push until its own timeout. */
const confirmationTimeout = duration.ms(300);
const pollInterval = duration.ms(20);

/**
 * Whether all live gateways use at least this version of the configuration, and also more than half of the live and
 * recently dead ones: if the coordinators are partitioned from most gateways, these may still be serving with an older
 * version (§7.2).
 */
export const confirmationOf = (
  state: AgreedState,
  now: Microseconds,
  version: number,
  usedVersion: UsedVersion,
): Confirmation => {
  const gateways = Object.values(state.nodes).filter((node) => node.role === 'gateway');
  const live = gateways.filter((node) => node.status === 'live');
  // A dead gateway whose address is used by a live one has been replaced and cannot serve any more.
  const mayServe = (node: NodeEntry): boolean =>
    node.status === 'dead' && now - node.since < deadGatewayExpiry && !live.some((other) => other.place === node.place);
  const counted = [...live, ...gateways.filter(mayServe)];
  const outdated = counted.filter((node) => usedVersion(node.id) < version);
  const isMajority = counted.length === 0 || (counted.length - outdated.length) * 2 > counted.length;
  if (isMajority && !outdated.some((node) => node.status === 'live')) return { ok: true };
  return { ok: false, gateways: outdated.map((node) => node.name).sort() };
};

/** Waits until the gateways use this version of the configuration, for `confirmationTimeout` at most. */
export const waitForConfirmation = async (
  clock: Clock,
  committed: () => AgreedState | undefined,
  version: number,
  usedVersion: UsedVersion,
): Promise<Confirmation> => {
  const end = clock.now() + confirmationTimeout;
  for (;;) {
    const state = committed();
    const confirmation = state
      ? confirmationOf(state, clock.wallTime(), version, usedVersion)
      : { ok: false as const, gateways: [] };
    if (confirmation.ok || clock.now() >= end) return confirmation;
    await time.sleep(clock, pollInterval);
  }
};
