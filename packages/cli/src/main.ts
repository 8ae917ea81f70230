/** Entry point of the `balsamnotch` binary. */
import meow from 'meow';
import {httpConfigService, httpVMList} from '@balsamnotch/systems';
import {consoleTerminal} from './console.js';
import {HELP} from './help.js';
import {run} from './run.js';

const {input, flags} = meow(HELP, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  booleanDefault: undefined,
  flags: {
    answers: {type: 'string'},
    out: {type: 'string'},
    force: {type: 'boolean'},
    kind: {type: 'string'},
    against: {type: 'string'},
    vmList: {type: 'string'},
    nodes: {type: 'string'},
    adapters: {type: 'boolean'},
    node: {type: 'string'},
    cancel: {type: 'boolean'},
    wait: {type: 'boolean'},
    waitMs: {type: 'number'},
    list: {type: 'boolean'},
    callerUrl: {type: 'string'},
    key: {type: 'string'},
    model: {type: 'string'},
    parallel: {type: 'number'},
    configService: {type: 'string'},
    revision: {type: 'number'},
    durationMs: {type: 'number'},
  },
});

const [command, ...commandInput] = input;
const terminal = consoleTerminal();
const clients = {vmList: httpVMList, configService: httpConfigService};
process.exitCode = await run(command, {
  input: commandInput,
  flags,
  clients,
  terminal,
});
terminal.close();
