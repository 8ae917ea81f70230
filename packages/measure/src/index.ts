/** Simulates routing and load policies in virtual time and reports their figures. */
export * from './policies.js';
export * from './report.js';
export * from './simulation.js';
export * from './trace.js';
