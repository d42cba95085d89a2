// The losses of a repair run, and what starts again after them (§6.5).
import type { Loss, Process, RepairStage } from './repair-stage.js';

const chosen = (stage: RepairStage, loss: Loss): Process[] => {
  const all = stage.live(loss.role);
  const members = new Set(
    (loss.role === 'coordinator'
      ? stage.leader()?.node?.membership.snapshot()?.members
      : stage.leader()?.node?.membership.state()?.storeGroup.members
    )?.map((member) => member.at) ?? all.map((process) => process.at),
  );
  const own = all.filter((process) => members.has(process.at));
  const pool = own.length >= loss.count ? own : all;
  if (loss.which === 'leader') return [stage.leader() ?? pool[0]!];
  const mixed = pool.map((process) => ({
    process,
    by: loss.which === 'oldest' ? process.diskSince : stage.world.rand.next(),
  }));
  return mixed
    .sort((a, b) => a.by - b.by)
    .slice(0, loss.count)
    .map((candidate) => candidate.process);
};
/** What starts after a loss: the process at its address, with or without its disk, or an empty one elsewhere. */
const restart = (stage: RepairStage, loss: Loss, process: Process): void => {
  if (loss.elsewhere) {
    const known = stage.live('coordinator').slice(0, 3);
    stage.add(
      loss.role,
      known.map((coordinator) => coordinator.at),
    );
    return;
  }
  stage.world.start(process.host);
  process.firstStart = false;
  if (loss.how === 'disk') process.diskSince = stage.world.now();
  stage.start(process);
};
/** Others start in their stead first, then these are told to end, and their disks go with them. */
const replaceInOrder = (stage: RepairStage, loss: Loss, returned: () => void): void => {
  const leaving = chosen(stage, loss);
  const known = stage.live('coordinator').slice(0, 3);
  for (let i = 0; i < leaving.length; i++)
    stage.add(
      loss.role,
      known.map((coordinator) => coordinator.at),
    );
  stage.world.scheduleAt(stage.world.now() + loss.backAfter, () => {
    returned();
    for (const process of leaving)
      void process.node?.drain().then(() => {
        process.node = undefined;
        stage.world.kill(process.host, 'disk');
      });
  });
};
/** A loss of some processes; `returned` is called at the moment at which they, or others, start again. */
export const lose = (stage: RepairStage, loss: Loss, returned: () => void): void => {
  if (loss.how === 'planned') return replaceInOrder(stage, loss, returned);
  const { how } = loss;
  const lost = chosen(stage, loss);
  for (const process of lost) {
    process.node = undefined;
    stage.world.kill(process.host, how);
  }
  stage.world.scheduleAt(stage.world.now() + loss.backAfter, () => {
    for (const process of lost) restart(stage, loss, process);
    returned();
  });
};
