#!/usr/bin/env node
/** The entry point of the command line: takes the signals before the other modules load. */
import '@thornsail/runtime/signals';

await import('./command-line.js');
