/**
 * Publishes this gateway's load to the other gateways (§4.4, §5.2): over the load exchange soon after a change, so that
 * two gateways rarely see the same slot as free; and at a lower rate by dissemination (§3.5), for operators and for
 * gateways that the exchange does not reach. The version of the configuration in use is disseminated separately.
 */
import type { GatewayMembership } from './gateway-membership.js';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Admission, GatewayLoad } from './admission.js';
import type { LoadExchange } from './load-exchange.js';

/** Publishes one gateway's load. */
export type LoadPublisher = {
  /** The load has changed: it is published once `pause` has passed since the last publication. */
  changed: () => void;
  /** Publishes the load if it has changed; if only its tokens have, at most every `tokensInterval`. */
  publish: () => void;
  /** A program was taken over from another gateway: the load lists it for `takeoverTime`. */
  recordTakeover: (program: string) => void;
};

/** Minimum time between two loads that differ only in their tokens. */
const tokensInterval = duration.ms(700);
/** Minimum time between two disseminated loads. */
const disseminationInterval = duration.ms(1500);
/** How long a load lists a program as taken over, and how many programs it lists at most. */
const takeoverTime = duration.s(3);
const maxTakeovers = 500;

/** What a publisher needs from its gateway. */
type PublisherOptions = {
  clock: Clock;
  dissemination: GatewayMembership['dissemination'];
  exchange: LoadExchange;
  self: string;
  admission: () => Admission;
  /** Version of the configuration in use. */
  configInUse: () => number;
  /** The current minimum time between two loads. */
  pause: () => Microseconds;
  /** The time before the start at which a load counts as published, for the first `pause`. */
  firstPause: Microseconds;
};

/** Programs that were taken over recently; the oldest are dropped. */
const takeovers = (clock: Clock): { add: (program: string) => void; recent: (now: Microseconds) => string[] } => {
  const takenOverAt = new Map<string, Microseconds>();
  return {
    add: (program) => void takenOverAt.set(program, clock.now()),
    recent: (now) => {
      for (const [program, at] of takenOverAt)
        if (now - at > takeoverTime || takenOverAt.size > maxTakeovers) takenOverAt.delete(program);
      return [...takenOverAt.keys()];
    },
  };
};

const openPublisher = (options: PublisherOptions): LoadPublisher => {
  const { clock, dissemination, exchange, self } = options;
  const recentTakeovers = takeovers(clock);
  let version = 0;
  let lastComparable = '';
  let lastPublished = -options.firstPause;
  let lastDisseminated = -disseminationInterval;
  let lastConfigInUse = -1;
  let isScheduled = false;
  const disseminate = (load: GatewayLoad, now: Microseconds): void => {
    const isDue = now - lastDisseminated >= disseminationInterval;
    // The version in use is a separate item that stays valid, so that it gets past a relay that hangs. It is repeated
    // with each disseminated load, since a node that considered this gateway dead has dropped it.
    if (isDue || load.uses > lastConfigInUse) dissemination.put(`uses/${self}`, load.uses, {});
    lastConfigInUse = load.uses;
    if (!isDue) return;
    lastDisseminated = now;
    dissemination.put(`load/${self}`, version, load);
  };
  const publish = (): void => {
    const now = clock.now();
    const took = recentTakeovers.recent(now);
    const load: GatewayLoad = { ...options.admission().load(), took, uses: options.configInUse() };
    // Tokens grow with each event of each stream, so they are left out of the comparison.
    const comparable = JSON.stringify({ ...load, tokens: null });
    if (comparable === lastComparable && now - lastPublished < tokensInterval) return;
    lastComparable = comparable;
    lastPublished = now;
    version += 1;
    exchange.send({ from: self, mark: version, load });
    disseminate(load, now);
  };
  const changed = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    clock.schedule(Math.max(0, lastPublished + options.pause() - clock.now()), () => {
      isScheduled = false;
      publish();
    });
  };
  return { changed, publish, recordTakeover: recentTakeovers.add };
};

/** Opens load publishers. */
export const loadPublisher = { open: openPublisher };
