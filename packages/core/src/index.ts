/** Decisions of balsamnotch: pure functions over immutable values, without sockets, timers or files. */
export * from './clock.js';
export * from './permits.js';
export * from './reasons.js';
export * from './rendezvous.js';
export * from './report.js';
export * from './routing.js';
export * from './slots.js';
export * from './callrecords.js';
export * from './tickets.js';
