// Stand-in callers and the rules that are checked of them.
export { audit, silent } from './audit.js';
export { callers, type Callers } from './callers.js';
export { keptProblems } from './conversation-check.js';
export type { KeyStory, Summary } from './summary.js';
