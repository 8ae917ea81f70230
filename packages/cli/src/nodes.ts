/** Calls the Connect service `Node` of gateway nodes. */
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

/** Timeout of one call to a node, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/** Maximum number of concurrent calls. */
const MAX_PARALLEL_CALLS = 64;

/** Error of a call to a node. */
export interface NodeError {
  /**
   * `refused`: no process listens at the address. `silent`: no answer within the
   * timeout. `failed`: any other error.
   */
  readonly kind: 'refused' | 'silent' | 'failed';
  readonly message: string;
}

/** Address and name of a node. */
export interface NodeAddress {
  /** `ip:port`. */
  readonly address: string;
  /** Name in the VM list; the address when no list is used. */
  readonly name: string;
  /** Record of the node in the VM list; absent when no list is used. */
  readonly vm?: VM;
}

/** A node and its answer or error. */
export interface NodeAnswer<T> {
  readonly node: NodeAddress;
  readonly answer: Result<T, NodeError>;
}

/** Searches the `cause` chain, because errors of a connection attempt are nested there. */
function isRefused(error: unknown): boolean {
  for (let current = error; current instanceof Error; current = current.cause) {
    if ('code' in current && current.code === 'ECONNREFUSED') return true;
  }
  return false;
}

function toNodeError(error: unknown): NodeError {
  const connectError = ConnectError.from(error);
  const message = connectError.rawMessage;
  if (isRefused(error)) return {kind: 'refused', message};
  return connectError.code === Code.DeadlineExceeded
    ? {kind: 'silent', message: `no answer within ${CALL_TIMEOUT_MS} ms`}
    : {kind: 'failed', message};
}

/**
 * Makes one call on a new connection. A reused connection may be half-open: calls
 * on it would time out although the node answers on new connections.
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
    return Err(toNodeError(error));
  } finally {
    sessionManager.abort();
  }
}

/** Fetches the status of a node. */
export function fetchStatus(
  address: string,
): Promise<Result<StatusResponse, NodeError>> {
  return call(address, client => client.status({}));
}

/** Asks a node to start a planned stop, or to cancel it. */
export function requestStop(
  address: string,
  cancel: boolean,
): Promise<Result<StopResponse, NodeError>> {
  return call(address, client => client.stop({cancel}));
}

/**
 * Queries all nodes with at most {@link MAX_PARALLEL_CALLS} concurrent calls.
 * Returns the answers in the order of the nodes.
 */
export async function queryAll<T>(
  nodes: readonly NodeAddress[],
  query: (address: string) => Promise<Result<T, NodeError>>,
): Promise<readonly NodeAnswer<T>[]> {
  const answers: NodeAnswer<T>[] = [];
  let nextIndex = 0;
  const worker = async () => {
    while (nextIndex < nodes.length) {
      const index = nextIndex++;
      const node = nodes[index]!;
      answers[index] = {node, answer: await query(node.address)};
    }
  };
  const workers = Math.min(MAX_PARALLEL_CALLS, nodes.length);
  await Promise.all(Array.from({length: workers}, worker));
  return answers;
}

/** Names of node states as shown to operators. */
const STATE_NAMES: Readonly<Record<NodeState, string>> = {
  [NodeState.UNSPECIFIED]: 'unknown',
  [NodeState.STARTING]: 'starting',
  [NodeState.SERVING]: 'serving',
  [NodeState.LEAVING]: 'leaving',
};

/** Returns the name of a node state as shown to operators. */
export function stateName(state: NodeState): string {
  return STATE_NAMES[state] ?? 'unknown';
}
