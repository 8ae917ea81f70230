/** Starts a deployment on the loopback interface, for the demo, scenarios and drills. */
export type {Child, Signal} from './child.js';
export * from './deployment.js';
export type {NodeHandle} from './node.js';
export * from './relay.js';
export type {StandInHandle, StandInKind} from './standin.js';
export * from './caller.js';
