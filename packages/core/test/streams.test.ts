import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  STREAM_FAULT,
  acceptChunk,
  acceptEnd,
  emptyAssembly,
  startAttempt,
  tokensOf,
  type Assembly,
  type Chunk,
} from '@balsamnotch/core';
import fc from 'fast-check';

const seed = Number(process.env['BALSAMNOTCH_SEED'] ?? 1);
const identity = {requestId: 'r1', adapter: 'veil', version: 'v1'};
const expected = Array.from({length: 12}, (_, n) => `t${n}`);

function chunk(offset: number, count: number, change = {}): Chunk {
  const tokens = expected.slice(offset, offset + count);
  return {...identity, engineIncarnation: 'e1', offset, tokens, ...change};
}

function first(): Assembly {
  return startAttempt(emptyAssembly(identity));
}

/** One event of a random schedule. A foreign chunk carries tokens of another answer. */
const event = fc.oneof(
  {weight: 12, arbitrary: fc.constant({kind: 'next'} as const)},
  fc.record({
    kind: fc.constant('chunk' as const),
    offset: fc.nat(11),
    count: fc.integer({min: 1, max: 5}),
    behind: fc.nat(2),
    engine: fc.constantFrom('e1', 'e1', 'e2'),
  }),
  fc.record({
    kind: fc.constant('foreign' as const),
    field: fc.constantFrom('requestId', 'adapter', 'version'),
    offset: fc.nat(11),
  }),
  fc.constant({kind: 'attempt'} as const),
  fc.record({
    kind: fc.constant('end' as const),
    total: fc.constantFrom(12, 12, 12, 11, 0),
    behind: fc.nat(1),
  }),
);

// Long schedules, because short ones seldom complete an answer.
const schedule = fc.array(event, {maxLength: 40, size: 'max'});

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

function apply(assembly: Assembly, step: Event): Assembly {
  const take = (attempt: number, arrived: Chunk) => {
    const result = acceptChunk(assembly, attempt, arrived);
    return result.isOk() ? result.value.assembly : assembly;
  };
  switch (step.kind) {
    case 'attempt':
      return startAttempt(assembly);
    case 'next':
      return take(
        assembly.attempt,
        chunk(assembly.received, 3, {
          engineIncarnation: assembly.engineIncarnation || 'e1',
        }),
      );
    case 'chunk': {
      // An abandoned attempt may have had tokens that this answer does not have.
      const old = step.behind > 0 ? {tokens: ['x', 'y', 'z']} : {};
      const change = {engineIncarnation: step.engine, ...old};
      const arrived = chunk(step.offset, step.count, change);
      return take(assembly.attempt - step.behind, arrived);
    }
    case 'foreign': {
      const tokens = ['x', 'y'];
      const arrived = chunk(step.offset, 2, {tokens, [step.field]: 'other'});
      return take(assembly.attempt, arrived);
    }
    case 'end': {
      // A target whose total is wrong sends it for another answer.
      const requestId = step.total === 12 ? 'r1' : 'r2';
      const end = {requestId, total: step.total, finishReason: 'stop'};
      const attempt = assembly.attempt - step.behind;
      return acceptEnd(assembly, attempt, end).unwrapOr(assembly);
    }
  }
}

describe('streams', () => {
  it('never mixes answers: what was received is a prefix, what is complete is whole', () => {
    let completed = 0;
    fc.assert(
      fc.property(schedule, events => {
        let assembly = first();
        for (const step of events) {
          assembly = apply(assembly, step);
          const tokens = tokensOf(assembly);
          assert.deepEqual(tokens, expected.slice(0, tokens.length));
          assert.equal(assembly.received, tokens.length);
        }
        if (assembly.finishReason === undefined) return;
        completed++;
        assert.deepEqual(tokensOf(assembly), expected);
      }),
      {seed, numRuns: 2_000},
    );
    assert.ok(completed > 100, `only ${completed} schedules completed`);
  });

  it('refuses a gap, so that no answer lacks tokens in the middle', () => {
    const result = acceptChunk(first(), 1, chunk(1, 2));
    assert.equal(result.unwrapErr(), STREAM_FAULT.gap);
  });

  it('returns only the new tokens of a part that is repeated', () => {
    const {assembly} = acceptChunk(first(), 1, chunk(0, 3)).unwrap();
    const again = acceptChunk(assembly, 1, chunk(1, 4)).unwrap();
    assert.deepEqual(again.fresh, ['t3', 't4']);
    const old = acceptChunk(again.assembly, 1, chunk(0, 2)).unwrap();
    assert.deepEqual(old.fresh, []);
  });

  it('ignores a late chunk of an abandoned attempt', () => {
    const assembly = startAttempt(first());
    const late = acceptChunk(assembly, 1, chunk(0, 2));
    assert.equal(late.unwrapErr(), STREAM_FAULT.stale);
  });

  it('lets the engine restart only between attempts', () => {
    const {assembly} = acceptChunk(first(), 1, chunk(0, 2)).unwrap();
    const other = chunk(2, 2, {engineIncarnation: 'e2'});
    const within = acceptChunk(assembly, 1, other);
    assert.equal(within.unwrapErr(), STREAM_FAULT.engineChanged);
    assert.ok(acceptChunk(startAttempt(assembly), 2, other).isOk());
  });

  it('is not complete when the end counts more or fewer tokens', () => {
    const {assembly} = acceptChunk(first(), 1, chunk(0, 3)).unwrap();
    const end = {requestId: 'r1', finishReason: 'stop'};
    const more = acceptEnd(assembly, 1, {...end, total: 4});
    assert.equal(more.unwrapErr(), STREAM_FAULT.gap);
    const fewer = acceptEnd(assembly, 1, {...end, total: 2});
    assert.equal(fewer.unwrapErr(), STREAM_FAULT.tooMany);
  });
});
