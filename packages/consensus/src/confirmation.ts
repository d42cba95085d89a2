/** When a configuration counts as in use: the gateways confirm it (§7.2). */
import { duration, time, type Clock, type Microseconds } from '@thornsail/runtime';
import type { NodeEntry, AgreedState } from './agreed-state.js';

/** The gateways at which a configuration is not yet in use, and whether enough of them could be asked at all. */
export type Confirmation = { ok: true } | { ok: false; gateways: string[] };
/** The version of the configuration that a gateway says it uses, by the gateway's id. */
export type UsedVersion = (gatewayId: string) => number;

/** One dead for so long is not waited for: it is not serving on behind a partition. */
const goneForGood = duration.s(600);
/**
 * Shorter than a node waits for a coordinator's answer; whoever asked repeats the same push until its own time is out.
 */
const confirmWithin = duration.ms(300);
const pollInterval = duration.ms(20);

/**
 * Whether all gateways that are alive use at least this version of the configuration, and more than half of all that
 * were alive lately: if the core is partitioned from most of them, they may be serving on without it (§7.2).
 */
export const confirmed = (
  state: AgreedState,
  now: Microseconds,
  version: number,
  usedVersion: UsedVersion,
): Confirmation => {
  const gateways = Object.values(state.nodes).filter((node) => node.role === 'gateway');
  const live = gateways.filter((node) => node.status === 'live');
  // One whose address a new process has taken is gone for good.
  const mayServe = (node: NodeEntry): boolean =>
    node.status === 'dead' && now - node.since < goneForGood && !live.some((other) => other.place === node.place);
  const lately = [...live, ...gateways.filter(mayServe)];
  const slow = lately.filter((node) => usedVersion(node.id) < version);
  const enough = lately.length === 0 || (lately.length - slow.length) * 2 > lately.length;
  if (enough && !slow.some((node) => node.status === 'live')) return { ok: true };
  return { ok: false, gateways: slow.map((node) => node.name).sort() };
};

/** Waits until the gateways use this version of the configuration, for `confirmWithin` at most. */
export const waitForConfirmation = async (
  clock: Clock,
  committed: () => AgreedState | undefined,
  version: number,
  usedVersion: UsedVersion,
): Promise<Confirmation> => {
  const end = clock.now() + confirmWithin;
  for (;;) {
    const state = committed();
    const confirmation = state
      ? confirmed(state, clock.wallTime(), version, usedVersion)
      : { ok: false as const, gateways: [] };
    if (confirmation.ok || clock.now() >= end) return confirmation;
    await time.sleep(clock, pollInterval);
  }
};
