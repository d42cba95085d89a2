export { roles, type Node } from './roles.js';
export { survey, type Finding } from './survey.js';
