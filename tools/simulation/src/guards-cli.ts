// npm run guards [-- TEXT ...]: disables each guard in a copy of the build and prints whether its test notices. With
// arguments, only the guards whose name or rule contains one of the texts.
import { guardRunner, guards } from './guards.js';

const filters = process.argv.slice(2);
const selected = guards.filter(
  ({ name, rule }) => filters.length === 0 || filters.some((text) => name.includes(text) || rule.includes(text)),
);
const verdicts = await guardRunner.runAll(
  selected,
  (verdict) => void process.stdout.write(guardRunner.formatVerdict(verdict)),
);
const missed = verdicts.filter(({ noticed }) => !noticed).length;
process.stdout.write(`${verdicts.length - missed} noticed, ${missed} missed\n`);
process.exit(missed ? 1 : 0);
