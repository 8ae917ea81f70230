/** Interfaces to the external systems, limited to what balsamnotch uses, and HTTP clients for them. */
export * from './configsvc.js';
export * from './configsvc-http.js';
export * from './engine.js';
export * from './engine-http.js';
export * from './plain.js';
export * from './plain-http.js';
export * from './vmlist.js';
export * from './vmlist-http.js';
export {openExchange, parseJson, send} from './http.js';
export {
  createInputTimer,
  scheduleAfterInput,
  readPendingInput,
  type InputTimer,
} from './inputtimer.js';
export type {
  HttpResponse,
  HttpResponseHead,
  Exchange,
  ExchangeError,
} from './http.js';
