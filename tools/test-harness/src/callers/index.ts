// Simulated callers, and the checks of what they and the workers recorded.
export { audit, classifySilences } from './audit.js';
export { callers, type Callers } from './callers.js';
export { conversationProblems } from './conversation-check.js';
export type { KeyHistory, Summary } from './summary.js';
