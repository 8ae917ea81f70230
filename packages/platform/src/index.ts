/** Narrow interfaces of the outside systems, and their HTTP clients. */
export * from './configsvc.js';
export * from './engine.js';
export * from './plain.js';
export * from './vmlist.js';
