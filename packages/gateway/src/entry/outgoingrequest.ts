/** A caller's request as it is sent to a target. */
import type {AdmittedRequest} from './admittedrequest.js';
import type {OutgoingRequest} from './attempt.js';
import type {ForwardedHeaders, ForwardProtocol} from './protocol.js';

/** Returns the request with the headers that the entry adds. */
export function outgoingRequest(
  {
    caller,
    method,
    path,
    rawHeaders,
    hasBody,
    body,
    hasAccounts,
    account,
    priority,
  }: AdmittedRequest,
  protocol: ForwardProtocol,
  forwarded: Omit<
    ForwardedHeaders,
    'priority' | 'bodyBytes' | 'dropsKey' | 'accountName'
  >,
): OutgoingRequest {
  return {
    requestId: caller.requestId,
    method,
    path,
    headers: protocol.forwardHeaders(rawHeaders, {
      ...forwarded,
      priority,
      dropsKey: hasAccounts,
      accountName: account?.name,
      // Bytes without a length would be taken for the next request on the connection.
      bodyBytes: hasBody || body.length > 0 ? body.length : undefined,
    }),
    body,
  };
}
