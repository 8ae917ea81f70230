/** Deterministic tokens of the engine stand-in, so that a test can check a continued answer. */
import {createHash} from 'node:crypto';

/** What the tokens of an answer depend on. */
export interface TokenSource {
  readonly adapter: string;
  readonly version: string;
  readonly messages: ReadonlyArray<{
    readonly role: string;
    readonly content: string;
  }>;
}

/** Token `n` of the answer to a request. */
export function tokenAt(source: TokenSource, n: number): string {
  const messages = source.messages.map(({role, content}) => [role, content]);
  const seed = JSON.stringify([source.adapter, source.version, messages, n]);
  return `${createHash('sha256').update(seed).digest('hex').slice(0, 5)} `;
}

/** The first `count` tokens of the answer to a request, joined. */
export function expectedAnswer(source: TokenSource, count: number): string {
  return Array.from({length: count}, (_, n) => tokenAt(source, n)).join('');
}
