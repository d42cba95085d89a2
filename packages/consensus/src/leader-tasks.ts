/** What the leader does by itself (§3.2, §3.3): rules on failures, repairs both groups, and says that it is there. */
import { duration, fault, time, type Clock } from '@thornsail/runtime';
import type { Consensus } from './driver.js';
import { consensusErrors } from './errors.js';
import type { GroupMaintenance } from './group-maintenance.js';
import { agreedState, type AgreedState } from './agreed-state.js';
import type { Rulings } from './rulings.js';

/** What the tasks work on. */
export type LeaderTaskOptions = {
  clock: Clock;
  consensus: Consensus<AgreedState>;
  failures: Rulings;
  maintenance: GroupMaintenance;
  /** Told now and then, with a growing number, while a majority confirms this leader. */
  onLead?: (version: number) => void;
  log: (text: string) => void;
};
/** The tasks as they run; on a member that does not lead they do nothing. */
export type LeaderTasks = {
  /** What is agreed on may make a step due: a loss, a return, a sweep that is complete. */
  onCommit: () => void;
  close: () => void;
};

const announceInterval = duration.ms(500);
const taskInterval = duration.ms(200);
/** Announcements of a later term have higher numbers. */
const announcementsInTerm = 1e9;

const ruleOnFailures = async ({ clock, consensus, failures, log }: LeaderTaskOptions): Promise<void> => {
  const version = consensus.committed();
  if (consensus.role() !== 'leader' || !version) return;
  for (const { entry, watchers } of failures.due(version.state)) {
    log(`${entry.name} is dead: ${watchers} watchers agree.`);
    await consensus.propose((state) => agreedState.markDead(state, entry.id, entry.incarnation, clock.wallTime()));
  }
};

/** A loss of the lead in between is no failure: the next leader does what is due. */
const loggingFailures =
  (log: LeaderTaskOptions['log'], task: () => Promise<void>): (() => Promise<void>) =>
  async () => {
    try {
      await task();
    } catch (error) {
      if (!consensusErrors.is(error, 'not-leader', 'outcome-unknown')) log(`a duty failed: ${fault.text(error)}.`);
    }
  };

/** A gateway that hears the leader's announcements gets every configuration in time (§7.2). */
const announcer = ({ consensus, onLead }: LeaderTaskOptions): (() => void) => {
  let announced = 0;
  return () => {
    if (!consensus.isLeaseValid() || !onLead) return;
    announced += 1;
    onLead((consensus.committed()?.term ?? 0) * announcementsInTerm + announced);
  };
};

/** Starts the tasks of the leader. */
export const leaderTasks = {
  open: (options: LeaderTaskOptions): LeaderTasks => {
    const { clock, log } = options;
    const repair = loggingFailures(log, options.maintenance.act);
    const stops = [
      time.every(clock, announceInterval, announcer(options)),
      time.every(
        clock,
        taskInterval,
        loggingFailures(log, () => ruleOnFailures(options)),
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
