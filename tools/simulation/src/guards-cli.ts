// npm run guards: takes each guarding line out of a copy and shows which test notices.
import { guardRun, guards } from './guards.js';

const only = process.argv.slice(2);
const all = await guardRun.all(
  guards.filter((x) => only.length === 0 || only.some((o) => x.name.includes(o) || x.rule.includes(o))),
  (v) => void process.stdout.write(`${v.noticed ? 'noticed' : 'MISSED '} ${v.rule}: ${v.guard} (${v.how})\n`),
);
const missed = all.filter((v) => !v.noticed).length;
process.stdout.write(`${all.length - missed} noticed, ${missed} missed\n`);
process.exit(missed ? 1 : 0);
