// The guards of the packages and the program, and the runner that disables them one by one.
export * from './guards/index.js';
