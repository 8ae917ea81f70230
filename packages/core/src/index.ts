/** Decisions of balsamnotch: pure functions over immutable values, without sockets, timers or files. */
export * from './admission.js';
export * from './attempts.js';
export * from './callrecords.js';
export * from './clock.js';
export * from './limits.js';
export * from './membership.js';
export * from './reasons.js';
export * from './rendezvous.js';
export * from './report.js';
export * from './revisions.js';
export * from './routing.js';
export * from './slots.js';
export * from './steps.js';
export * from './streams.js';
export * from './tickets.js';
export * from './view.js';
