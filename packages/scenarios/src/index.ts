/** Scenarios that run real processes. Cucumber loads the step definitions itself. */
export * from './caller.js';
export * from './world.js';
