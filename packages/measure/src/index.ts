/** Measurement of the policies on virtual time. */
export * from './policies.js';
export * from './report.js';
export * from './simulation.js';
export * from './trace.js';
