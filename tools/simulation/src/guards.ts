// The guards of the packages and the program, and how they are taken out: see guards/.
export * from './guards/index.js';
