/** Scenarios with real processes. The step definitions are loaded by cucumber. */
export * from './caller.js';
export * from './world.js';
