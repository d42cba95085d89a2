export { roles, type Node } from './roles.js';
