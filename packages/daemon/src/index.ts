/** Runs a balsamnotch node, and exports the parts of it that other programs reuse. */
export {runNode, systemClock} from './node/node.js';
export {createInputAge} from './node/inputage.js';
export {createEventLog} from './node/log.js';
export {createPauseMonitor} from './node/pauses.js';
export {serveConnect, splitAddress} from './node/server.js';
export {transportTo} from './node/session.js';
export type {EventLog, LogFields} from './node/context.js';
export type {InputAge} from './node/inputage.js';
export type {PauseMonitor} from './node/pauses.js';
