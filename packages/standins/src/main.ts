/**
 * Runs one stand-in as a process: `main.js KIND [--port N] [--control JSON]`.
 * Prints its ports as a line of JSON once it is listening.
 */
import meow from 'meow';
import {configServiceControl, startConfigService} from './configsvc.js';
import {engineControl, startEngine} from './engine.js';
import {plainControl, startPlain} from './plain.js';
import type {StandIn} from './server.js';
import {startVMList, vmListControl} from './vmlist.js';
import {startWeights, weightsControl} from './weights.js';

const cli = meow(
  `
  Usage
    $ standin engine|plain|weights|configsvc|vmlist

  Options
    --port N          port of the service; 0 lets the system choose one
    --control-port N  second port, which stays open while the service refuses connections
    --control JSON    initial settings, in the format of POST /control
    --weights URL     weight store that an engine loads from
`,
  {
    importMeta: import.meta,
    flags: {
      port: {type: 'number', default: 0},
      controlPort: {type: 'number', default: 0},
      control: {type: 'string', default: '{}'},
      weights: {type: 'string'},
    },
  },
);

function start(kind: string): Promise<StandIn> {
  const {port, controlPort, weights} = cli.flags;
  const settings: unknown = JSON.parse(cli.flags.control);
  const ports = {port, controlPort};
  switch (kind) {
    case 'engine':
      return startEngine({
        ...ports,
        weights,
        control: engineControl.parse(settings),
      });
    case 'plain':
      return startPlain({...ports, control: plainControl.parse(settings)});
    case 'weights':
      return startWeights({...ports, control: weightsControl.parse(settings)});
    case 'configsvc':
      return startConfigService({
        ...ports,
        control: configServiceControl.parse(settings),
      });
    case 'vmlist':
      return startVMList({...ports, control: vmListControl.parse(settings)});
    default:
      throw new Error(`unknown stand-in: ${kind}`);
  }
}

const {port, controlPort} = await start(cli.input[0] ?? '');
console.log(JSON.stringify({port, controlPort}));
