// npm run guards: takes each guarding line out of a copy and shows which test notices.
import { guardRunner, guards } from './guards.js';

const wanted = process.argv.slice(2);
const chosen = guards.filter(
  ({ name, rule }) => wanted.length === 0 || wanted.some((text) => name.includes(text) || rule.includes(text)),
);
const verdicts = await guardRunner.takeOutAll(
  chosen,
  (verdict) => void process.stdout.write(guardRunner.line(verdict)),
);
const missed = verdicts.filter(({ noticed }) => !noticed).length;
process.stdout.write(`${verdicts.length - missed} noticed, ${missed} missed\n`);
process.exit(missed ? 1 : 0);
