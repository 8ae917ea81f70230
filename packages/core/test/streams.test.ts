import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  STREAM_FAULT,
  acceptChunk,
  acceptEnd,
  emptyAssembly,
  startAttempt,
  assembledTokens,
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

function firstAttempt(): Assembly {
  return startAttempt(emptyAssembly(identity));
}

/** Event of a random schedule. A `foreign` chunk carries tokens of another answer. */
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

// Short schedules rarely complete an answer.
const schedules = fc.array(event, {maxLength: 40, size: 'max'});

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

function apply(assembly: Assembly, step: Event): Assembly {
  const accept = (attempt: number, arrived: Chunk) => {
    const result = acceptChunk(assembly, attempt, arrived);
    return result.isOk() ? result.value.assembly : assembly;
  };
  switch (step.kind) {
    case 'attempt':
      return startAttempt(assembly);
    case 'next':
      return accept(
        assembly.attempt,
        chunk(assembly.received, 3, {
          engineIncarnation: assembly.engineIncarnation || 'e1',
        }),
      );
    case 'chunk': {
      // An abandoned attempt may have produced tokens that differ from those of this answer.
      const staleTokens = step.behind > 0 ? {tokens: ['x', 'y', 'z']} : {};
      const change = {engineIncarnation: step.engine, ...staleTokens};
      const arrived = chunk(step.offset, step.count, change);
      return accept(assembly.attempt - step.behind, arrived);
    }
    case 'foreign': {
      const tokens = ['x', 'y'];
      const arrived = chunk(step.offset, 2, {tokens, [step.field]: 'other'});
      return accept(assembly.attempt, arrived);
    }
    case 'end': {
      // An end event with a wrong total belongs to another answer.
      const requestId = step.total === 12 ? 'r1' : 'r2';
      const end = {requestId, total: step.total, finishReason: 'stop'};
      const attempt = assembly.attempt - step.behind;
      return acceptEnd(assembly, attempt, end).unwrapOr(assembly);
    }
  }
}

describe('streams', () => {
  it('never mixes answers: received tokens are a prefix, and a complete answer has all tokens', () => {
    let completed = 0;
    fc.assert(
      fc.property(schedules, events => {
        let assembly = firstAttempt();
        for (const step of events) {
          assembly = apply(assembly, step);
          const tokens = assembledTokens(assembly);
          assert.deepEqual(tokens, expected.slice(0, tokens.length));
          assert.equal(assembly.received, tokens.length);
        }
        if (assembly.finishReason === undefined) return;
        completed++;
        assert.deepEqual(assembledTokens(assembly), expected);
      }),
      {seed, numRuns: 2_000},
    );
    assert.ok(
      completed > 100,
      `only ${completed} schedules completed an answer`,
    );
  });

  it('rejects a chunk after a gap (the answer would lack tokens in the middle)', () => {
    const result = acceptChunk(firstAttempt(), 1, chunk(1, 2));
    assert.equal(result.unwrapErr(), STREAM_FAULT.gap);
  });

  it('returns only the new tokens of a chunk that overlaps earlier ones', () => {
    const {assembly} = acceptChunk(firstAttempt(), 1, chunk(0, 3)).unwrap();
    const overlapping = acceptChunk(assembly, 1, chunk(1, 4)).unwrap();
    assert.deepEqual(overlapping.fresh, ['t3', 't4']);
    const repeated = acceptChunk(overlapping.assembly, 1, chunk(0, 2)).unwrap();
    assert.deepEqual(repeated.fresh, []);
  });

  it('rejects a late chunk of an abandoned attempt as stale', () => {
    const assembly = startAttempt(firstAttempt());
    const late = acceptChunk(assembly, 1, chunk(0, 2));
    assert.equal(late.unwrapErr(), STREAM_FAULT.stale);
  });

  it('accepts another engine incarnation only in a new attempt', () => {
    const {assembly} = acceptChunk(firstAttempt(), 1, chunk(0, 2)).unwrap();
    const afterRestart = chunk(2, 2, {engineIncarnation: 'e2'});
    const sameAttempt = acceptChunk(assembly, 1, afterRestart);
    assert.equal(sameAttempt.unwrapErr(), STREAM_FAULT.engineChanged);
    assert.ok(acceptChunk(startAttempt(assembly), 2, afterRestart).isOk());
  });

  it('does not complete an answer when the end event states more or fewer tokens', () => {
    const {assembly} = acceptChunk(firstAttempt(), 1, chunk(0, 3)).unwrap();
    const end = {requestId: 'r1', finishReason: 'stop'};
    const tooHigh = acceptEnd(assembly, 1, {...end, total: 4});
    assert.equal(tooHigh.unwrapErr(), STREAM_FAULT.gap);
    const tooLow = acceptEnd(assembly, 1, {...end, total: 2});
    assert.equal(tooLow.unwrapErr(), STREAM_FAULT.tooMany);
  });
});
