/** Generates the deterministic tokens of the engine stand-in, which let a test check a resumed answer. */
import {createHash} from 'node:crypto';

/** The parts of a request that determine the tokens of its answer. */
export interface TokenSource {
  readonly adapter: string;
  readonly version: string;
  readonly messages: ReadonlyArray<{
    readonly role: string;
    readonly content: string;
  }>;
}

/** Returns the token at `index` in the answer to a request. */
export function tokenAt(source: TokenSource, index: number): string {
  const messages = source.messages.map(({role, content}) => [role, content]);
  const seed = JSON.stringify([
    source.adapter,
    source.version,
    messages,
    index,
  ]);
  return `${createHash('sha256').update(seed).digest('hex').slice(0, 5)} `;
}

/** Returns the first `count` tokens of the answer to a request as one string. */
export function expectedAnswer(source: TokenSource, count: number): string {
  return Array.from({length: count}, (_, index) => tokenAt(source, index)).join(
    '',
  );
}
