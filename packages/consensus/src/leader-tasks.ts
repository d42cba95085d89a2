/** Periodic tasks of the leader (§3.2, §3.3): confirm failures, repair both groups, and announce its leadership. */
import { duration, fault, time, type Clock } from '@thornsail/runtime';
import type { Consensus } from './driver.js';
import { consensusErrors } from './errors.js';
import type { GroupMaintenance } from './group-maintenance.js';
import { agreedState, type AgreedState } from './agreed-state.js';
import type { SuspicionTracker } from './suspicions.js';

/** Dependencies and callbacks of the tasks. */
export type LeaderTaskOptions = {
  clock: Clock;
  consensus: Consensus<AgreedState>;
  suspicions: SuspicionTracker;
  maintenance: GroupMaintenance;
  /** Called every `announceInterval` while the leader's lease is valid, with a number that grows with each call. */
  onLeadershipConfirmed?: (version: number) => void;
  log: (text: string) => void;
};
/** The running tasks; on a member that is not the leader they do nothing. */
export type LeaderTasks = {
  /** Runs the repair after a commit, because the new version may call for a step: a lost or returned node, a sweep. */
  onCommit: () => void;
  close: () => void;
};

const announceInterval = duration.ms(500);
const taskInterval = duration.ms(200);
/** The term is multiplied by this, so that announcements of a later term have higher numbers. */
const announcementsPerTerm = 1e9;

const markConfirmedDead = async ({ clock, consensus, suspicions, log }: LeaderTaskOptions): Promise<void> => {
  const version = consensus.committed();
  if (consensus.role() !== 'leader' || !version) return;
  for (const { entry, watchers } of suspicions.takeConfirmed(version.state)) {
    log(`marking ${entry.name} dead: ${watchers} watchers suspect it.`);
    await consensus.propose((state) => agreedState.markDead(state, entry.id, entry.incarnation, clock.wallTime()));
  }
};

/** Wraps a task to log its errors. Losing the leadership meanwhile is not an error: the next leader runs the task. */
const loggingFailures =
  (log: LeaderTaskOptions['log'], task: () => Promise<void>): (() => Promise<void>) =>
  async () => {
    try {
      await task();
    } catch (error) {
      if (!consensusErrors.is(error, 'not-leader', 'outcome-unknown'))
        log(`a leader task failed: ${fault.text(error)}.`);
    }
  };

/**
 * Announces the leadership. A gateway that receives the announcements is in contact with the leader and so gets each
 * configuration in time (§7.2).
 */
const announcer = ({ consensus, onLeadershipConfirmed }: LeaderTaskOptions): (() => void) => {
  let announced = 0;
  return () => {
    if (!consensus.isLeaseValid() || !onLeadershipConfirmed) return;
    announced += 1;
    onLeadershipConfirmed((consensus.committed()?.term ?? 0) * announcementsPerTerm + announced);
  };
};

/** Starts the tasks of the leader. */
export const leaderTasks = {
  open: (options: LeaderTaskOptions): LeaderTasks => {
    const { clock, log } = options;
    const repair = loggingFailures(log, options.maintenance.runDueSteps);
    const stops = [
      time.every(clock, announceInterval, announcer(options)),
      time.every(
        clock,
        taskInterval,
        loggingFailures(log, () => markConfirmedDead(options)),
      ),
      time.every(clock, taskInterval, repair),
    ];
    return {
      onCommit: () => void repair(),
      close: () => {
        for (const stop of stops) stop();
      },
    };
  },
};
