/** Stand-ins for external systems, used by tests, the demo and drills. */
export * from './configsvc.js';
export * from './control.js';
export * from './engine.js';
export * from './plain.js';
export * from './rawserver.js';
export type {StandIn, StandInOptions} from './server.js';
export * from './tokens.js';
export * from './vmlist.js';
export * from './weights.js';
