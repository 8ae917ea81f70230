/** Commands of the binary `balsamnotch`. */
export {EXIT, type ExitCode} from './exit.js';
export {run, type Flags, type Invocation, type OutsideSystems} from './run.js';
export type {Terminal} from './terminal.js';
