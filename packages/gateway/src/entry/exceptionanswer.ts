/** Answers a request whose handling raised an exception. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {GatewayContext} from '../node/context.js';
import type {ForwardProtocol} from './protocol.js';
import {createReply, emptyAnswer} from './reply.js';
import {HTTP_STATUS} from './status.js';

/** Retry delay for callers after an exception, in milliseconds. */
const EXCEPTION_RETRY_AFTER_MS = 1_000;

/** Options of {@link createExceptionAnswer}. */
export interface ExceptionAnswerOptions {
  readonly context: Pick<GatewayContext, 'log' | 'metrics'>;
  readonly protocol: ForwardProtocol;
  /** Called with the message of the exception before a started answer is aborted. */
  readonly onAbort: (socket: Socket | null, detail: string) => void;
}

/** Returns a function that logs an exception, and answers its request unless that has been done. */
export function createExceptionAnswer({
  context: {log, metrics},
  protocol,
  onAbort,
}: ExceptionAnswerOptions): (error: Error, response: ServerResponse) => void {
  return ({message, stack = ''}, response) => {
    log.error('request_failed', {message, stack});
    metrics.count('exception');
    const reply = createReply(response, {
      isLastOnConnection: () => true,
      onAbort: () => onAbort(response.socket, message),
    });
    if (reply.isStarted()) {
      reply.abort('exception');
      return;
    }
    reply.send(
      emptyAnswer(
        protocol,
        '',
        HTTP_STATUS.unavailable,
        EXCEPTION_RETRY_AFTER_MS,
      ),
    );
  };
}
