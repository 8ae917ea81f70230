/** A balsamnotch node, as `balsamnotchd` runs it. */
export {runNode} from './node/node.js';
