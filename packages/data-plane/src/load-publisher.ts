/**
 * Tells the other gateways of this one's load (§4.4, §5.2): over the load exchange soon after a change, so that two
 * gateways seldom see the same slot free; in the news (§3.5) as well, seldom, for operators and for a gateway that the
 * exchange does not reach. Which configuration is in use goes into the news by itself.
 */
import type { GatewayMembership } from './gateway-membership.js';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Admission, EdgeLoad } from './admission.js';
import type { LoadExchange } from './load-exchange.js';

/** Publishes one gateway's load. */
export type LoadPublisher = {
  /** Something has changed: it is published once the pause since the last time is over. */
  changed: () => void;
  /** Publishes what is new; what only grows tokens waits for `slowInterval`. */
  publish: () => void;
  /** A program was taken over from another gateway: the load names it for a while. */
  tookOver: (program: string) => void;
};

/** The longest time between two loads whose tokens alone have changed. */
const slowInterval = duration.ms(700);
/** Time between two loads in the news. */
const newsInterval = duration.ms(1500);
/** For how long, and of how many programs at most, a load says that they were taken over. */
const takeoverTime = duration.s(3);
const maxTakeovers = 500;

/** What a publisher needs of its gateway. */
type PublisherOptions = {
  clock: Clock;
  dissemination: GatewayMembership['dissemination'];
  exchange: LoadExchange;
  self: string;
  admission: () => Admission;
  /** The mark of the configuration in use. */
  configInUse: () => number;
  /** The least time between two loads, at present. */
  pause: () => Microseconds;
  /** When the first load may go, as a time before the start: the pause while slots are plenty. */
  firstPause: Microseconds;
};

/** Programs that were taken over lately; the oldest are dropped. */
const takeovers = (clock: Clock): { add: (program: string) => void; recent: (now: Microseconds) => string[] } => {
  const takenAt = new Map<string, Microseconds>();
  return {
    add: (program) => void takenAt.set(program, clock.now()),
    recent: (now) => {
      for (const [program, at] of takenAt)
        if (now - at > takeoverTime || takenAt.size > maxTakeovers) takenAt.delete(program);
      return [...takenAt.keys()];
    },
  };
};

const openPublisher = (options: PublisherOptions): LoadPublisher => {
  const { clock, dissemination, exchange, self } = options;
  const taken = takeovers(clock);
  let mark = 0;
  let lastText = '';
  let lastPublished = -options.firstPause;
  let lastNews = -newsInterval;
  let lastInUse = -1;
  let isScheduled = false;
  const putNews = (load: EdgeLoad, now: Microseconds): void => {
    const isDue = now - lastNews >= newsInterval;
    // What is in use is told by itself: it lasts, so it finds its way round a relay that hangs. It is put again now and
    // then, since whoever took this gateway for dead has dropped it.
    if (isDue || load.uses > lastInUse) dissemination.put(`uses/${self}`, load.uses, {});
    lastInUse = load.uses;
    if (!isDue) return;
    lastNews = now;
    dissemination.put(`load/${self}`, mark, load);
  };
  const publish = (): void => {
    const now = clock.now();
    const took = taken.recent(now);
    const load: EdgeLoad = { ...options.admission().load(), took, uses: options.configInUse() };
    // Tokens grow with every event of every stream: that alone is published at the slow interval.
    const text = JSON.stringify({ ...load, tokens: null });
    if (text === lastText && now - lastPublished < slowInterval) return;
    lastText = text;
    lastPublished = now;
    mark += 1;
    exchange.send({ from: self, mark, load });
    putNews(load, now);
  };
  const changed = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    clock.schedule(Math.max(0, lastPublished + options.pause() - clock.now()), () => {
      isScheduled = false;
      publish();
    });
  };
  return { changed, publish, tookOver: taken.add };
};

/** Publishes loads. */
export const loadPublisher = { open: openPublisher };
