// Sets the line width in the Prettier configuration to `printWidth`; `npm run format:100` also reformats all sources.
import { readFileSync, writeFileSync } from 'node:fs';
import { printWidth } from './limits.js';

const file = new URL('../.prettierrc.json', import.meta.url);
const style = JSON.parse(readFileSync(file, 'utf8'));
writeFileSync(file, `${JSON.stringify({ ...style, printWidth }, null, 2)}\n`);
