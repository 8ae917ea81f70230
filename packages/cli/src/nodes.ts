/** Calls the connect service `Node` of one process. */
import {
  ConnectError,
  Code,
  createClient,
  type Client,
} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {
  Node,
  NodeState,
  type StatusResponse,
  type StopResponse,
} from '@balsamnotch/wire';
import type {VM} from '@balsamnotch/systems';
import {Err, Ok, type Result} from 'ts-results-es';

/** Time for one answer of a node, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** Nodes that are asked at once. */
const PARALLEL_CALLS = 64;

/** Why a node gave no answer. */
export interface NodeError {
  /** `refused`: no process listens at the address. `silent`: no answer in time. */
  readonly kind: 'refused' | 'silent' | 'failed';
  readonly message: string;
}

/** A node to ask. */
export interface NodeAddress {
  /** `ip:port`. */
  readonly address: string;
  /** Name in the VM list; the address when there is no list. */
  readonly name: string;
  /** What the VM list says of it; absent without a list. */
  readonly listed?: VM;
}

/** A node with its answer. */
export interface NodeAnswer<T> {
  readonly node: NodeAddress;
  readonly answer: Result<T, NodeError>;
}

/** Errors of a connection attempt are nested in `cause`. */
function isRefused(error: unknown): boolean {
  for (let part = error; part instanceof Error; part = part.cause) {
    if ('code' in part && part.code === 'ECONNREFUSED') return true;
  }
  return false;
}

function nodeError(error: unknown): NodeError {
  const connectError = ConnectError.from(error);
  const message = connectError.rawMessage;
  if (isRefused(error)) return {kind: 'refused', message};
  return connectError.code === Code.DeadlineExceeded
    ? {kind: 'silent', message: `no answer within ${CALL_TIMEOUT_MS} ms`}
    : {kind: 'failed', message};
}

/**
 * Makes one call on a connection of its own. A connection that is kept may be
 * half-open and stay silent while new ones work.
 */
async function call<T>(
  address: string,
  method: (client: Client<typeof Node>) => Promise<T>,
): Promise<Result<T, NodeError>> {
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl,
    sessionManager,
    defaultTimeoutMs: CALL_TIMEOUT_MS,
  });
  try {
    return Ok(await method(createClient(Node, transport)));
  } catch (error) {
    return Err(nodeError(error));
  } finally {
    sessionManager.abort();
  }
}

/** Asks a node for its status. */
export function nodeStatus(
  address: string,
): Promise<Result<StatusResponse, NodeError>> {
  return call(address, client => client.status({}));
}

/** Starts or cancels a planned stop. */
export function stopNode(
  address: string,
  cancel: boolean,
): Promise<Result<StopResponse, NodeError>> {
  return call(address, client => client.stop({cancel}));
}

/** Asks all nodes, a limited number at once; answers in the order of the nodes. */
export async function askAll<T>(
  nodes: readonly NodeAddress[],
  ask: (address: string) => Promise<Result<T, NodeError>>,
): Promise<readonly NodeAnswer<T>[]> {
  const answers: NodeAnswer<T>[] = [];
  let next = 0;
  const worker = async () => {
    while (next < nodes.length) {
      const index = next++;
      const node = nodes[index]!;
      answers[index] = {node, answer: await ask(node.address)};
    }
  };
  const workers = Math.min(PARALLEL_CALLS, nodes.length);
  await Promise.all(Array.from({length: workers}, worker));
  return answers;
}

/** Names of node states for operators. */
const STATE_NAMES: Readonly<Record<NodeState, string>> = {
  [NodeState.UNSPECIFIED]: 'unknown',
  [NodeState.STARTING]: 'starting',
  [NodeState.SERVING]: 'serving',
  [NodeState.LEAVING]: 'leaving',
};

/** Name of a node state. */
export function stateName(state: NodeState): string {
  return STATE_NAMES[state] ?? 'unknown';
}
