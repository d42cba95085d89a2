/** Roles of nodes, the cluster check and embedded gateways, for programs that run nodes themselves. */
export { daemonProcess, type DaemonProcess } from './daemon-process.js';
export { roles, type Node, type ReadWorkers } from './roles.js';
export { survey, type Finding } from './survey.js';
export { warmUpGateway } from './warm-up.js';
export { embed, type EmbeddedGateway, type EmbedOptions } from './embed.js';
