/** Cancels chats whose answer is no longer read. */
import type {EntryComponents} from './parts.js';
import type {PermittedRequest} from './request.js';

/** Timeout of a `Cancel` request, in milliseconds. */
const CANCEL_TIMEOUT_MS = 800;

/**
 * Asks a target to cancel a chat whose answer is no longer read. A failure has
 * no effect on the caller: the target merely wastes time on the chat.
 */
export async function cancelChat(
  {targets, context}: EntryComponents,
  {requestId, caller}: PermittedRequest,
  target: string,
): Promise<void> {
  const session = await targets.connect(target);
  if (session === undefined) return;
  const envelope = targets.envelope(target, {
    requestId,
    caller: caller.name,
    budgetMs: CANCEL_TIMEOUT_MS,
    incarnation: '',
  });
  try {
    await session.client.cancel({envelope}, {timeoutMs: CANCEL_TIMEOUT_MS});
  } catch (error) {
    context.log.debug('cancel_failed', {target, error: `${error}`});
  } finally {
    session.release();
  }
}
