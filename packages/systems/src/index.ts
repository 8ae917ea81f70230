/** Narrow interfaces of the outside systems, and their HTTP clients. */
export * from './configsvc.js';
export * from './configsvc-http.js';
export * from './engine.js';
export * from './engine-http.js';
export * from './plain.js';
export * from './plain-http.js';
export * from './vmlist.js';
export * from './vmlist-http.js';
export {openExchange, parseJson, send} from './http.js';
export type {Answer, AnswerHead, Exchange, ExchangeError} from './http.js';
