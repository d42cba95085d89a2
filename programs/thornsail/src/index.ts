export { roles, type Node, type ReadWorkers } from './roles.js';
export { survey, type Finding } from './survey.js';
export { warmUpGateway } from './warm-up.js';
export { embed, type Embedded, type EmbedOptions } from './embed.js';
