/** Cancels chats that nobody reads any more. */
import type {Parts} from './parts.js';
import type {Permitted} from './request.js';

/** Time for a target to take the cancellation of a chat, in milliseconds. */
const CANCEL_MS = 800;

/** Tells a target that nobody reads the chat any more; a loss of the message costs only its time. */
export async function cancelChat(
  {targets, context}: Parts,
  {requestId, caller}: Permitted,
  target: string,
): Promise<void> {
  const session = await targets.connect(target);
  if (session === undefined) return;
  const envelope = targets.envelope(target, {
    requestId,
    caller: caller.name,
    budgetMs: CANCEL_MS,
    incarnation: '',
  });
  try {
    await session.client.cancel({envelope}, {timeoutMs: CANCEL_MS});
  } catch (error) {
    context.log.debug('cancel_failed', {target, error: `${error}`});
  } finally {
    session.release();
  }
}
