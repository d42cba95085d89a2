export { roles, type Node, type ReadWorkers } from './roles.js';
export { survey, type Finding } from './survey.js';
export { embed, type Embedded, type EmbedOptions } from './embed.js';
