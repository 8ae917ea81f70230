/** Commands of the `balsamnotch` binary. */
export {EXIT, type ExitCode} from './exit.js';
export {
  run,
  type Flags,
  type Invocation,
  type ClientFactory as OutsideSystems,
} from './run.js';
export type {Terminal} from './terminal.js';
