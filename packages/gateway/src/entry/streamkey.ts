/** Names streams between nodes. */
import {createHash} from 'node:crypto';

/** Length of a key: 96 bits. */
const KEY_CHARS = 16;

/**
 * Returns the key of the stream that a client attempt began at a service. Another client account
 * has another key for the same request id, so it can neither take up the stream nor learn of it.
 */
export function streamKey(
  service: string,
  account: readonly string[],
  requestId: string,
): string {
  return createHash('sha256')
    .update(JSON.stringify([service, account, requestId]))
    .digest('base64url')
    .slice(0, KEY_CHARS);
}
