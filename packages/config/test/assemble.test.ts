import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  assemble,
  contentHash,
  publishedName,
  type Configuration,
} from '@balsamnotch/config';
import fc from 'fast-check';
import {assertFinding, published} from './fixtures.js';

const PUBLISHED = published();

interface Value {
  readonly name: string;
  readonly text: string;
}

/** Assembles texts under hashes that match them. */
function assembleTexts(
  values: readonly Value[],
  revision: unknown = 1,
  previous?: Configuration,
) {
  const listed = values.map(({name, text}) => ({
    name,
    sha256: contentHash(text),
  }));
  const manifest = JSON.stringify({deployment: 'd', revision, values: listed});
  return assemble(
    manifest,
    new Map(
      listed.map(({name, sha256}, index) => [
        publishedName(name, sha256),
        values[index]!.text,
      ]),
    ),
    previous,
  );
}

/** Values of the sample with one text edited. */
function edited(name: string, from: string, to: string): readonly Value[] {
  return [...PUBLISHED.values].map(([key, text]) =>
    key.startsWith(`${name}.`)
      ? {name, text: text.replace(from, to)}
      : {name: key.split('.')[0]!, text},
  );
}

describe('assemble', () => {
  it('gives adapters of all values, and declared limits', () => {
    const {manifest, values} = PUBLISHED;
    const configuration = assemble(manifest, values).unwrap();
    assert.equal(configuration.revision, 3);
    assert.equal(configuration.adapters.size, 1501);
    assert.equal(configuration.adapters.get('p-1500')?.current, '2');
    assert.deepEqual(configuration.tolerances, {
      stallWeight: 4,
      batchWaitMs: 0,
    });
  });

  it('refuses a value with any changed character as a whole', () => {
    const keys = [...PUBLISHED.values.keys()];
    fc.assert(
      fc.property(
        fc.constantFrom(...keys),
        fc.nat(),
        fc.string({minLength: 1, maxLength: 1}),
        (key, place, character) => {
          const text = PUBLISHED.values.get(key)!;
          const at = place % text.length;
          fc.pre(text[at] !== character);
          const changed = text.slice(0, at) + character + text.slice(at + 1);
          const values = new Map(PUBLISHED.values).set(key, changed);
          return assemble(PUBLISHED.manifest, values).isErr();
        },
      ),
      {seed: 3, numRuns: 60},
    );
  });

  it('never throws, whatever a value contains', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        assert.ok(assemble(text, new Map()).isErr());
        assert.ok(assembleTexts([{name: 'base', text}]).isErr());
      }),
      {seed: 4, numRuns: 300},
    );
  });

  it('checks values that it takes over against the new base value', () => {
    const previous = assemble(PUBLISHED.manifest, PUBLISHED.values).unwrap();
    const taken = assemble(PUBLISHED.manifest, PUBLISHED.values, previous);
    assert.deepEqual(taken.unwrap(), previous);
    const otherModel = edited('base', '"baseModel": "m"', '"baseModel": "n"');
    assertFinding(
      assembleTexts(otherModel, 4, previous),
      'no model service runs',
    );
    const otherGroup = edited('base', '"g"', '"gg"');
    assertFinding(assembleTexts(otherGroup, 4, previous), 'unknown group "gg"');
    const repeated = edited('adapters-001', '"name":"q"', '"name":"p-0001"');
    assertFinding(assembleTexts(repeated, 4, previous), 'duplicate name');
  });

  it('refuses missing, oversized and unlisted values', () => {
    assertFinding(assemble(PUBLISHED.manifest, new Map()), 'is missing');
    const big = ' '.repeat(1_000_001);
    assertFinding(assembleTexts([{name: 'base', text: big}]), '1000001 bytes');
    assertFinding(assembleTexts([]), 'value "base" is not listed');
  });

  it('refuses revisions that are not positive integers', () => {
    const values = edited('base', 'x', 'x');
    for (const revision of [0, -1, 1.5, '1', 2 ** 53, null]) {
      assertFinding(assembleTexts(values, revision), 'revision must be');
    }
  });

  it('reports faults of several values together', () => {
    const values = edited('base', '"g"', '"gg"').map(({name, text}) =>
      name === 'adapters-001'
        ? {name, text: text.replace('"current":"1"', '"current":"7"')}
        : {name, text},
    );
    const result = assembleTexts(values, 0);
    assertFinding(result, 'unknown group "gg"');
    assertFinding(result, 'current version "7" is not in versions');
    assertFinding(result, 'revision must be');
  });

  it('refuses an adapter that two values name', () => {
    const values = edited('adapters-001', '"name":"q"', '"name":"p-0001"');
    assertFinding(assembleTexts(values), 'duplicate name "p-0001"');
  });

  it('refuses callers with unknown or model services', () => {
    const unknown = edited(
      'base',
      '"services": [\n        "shop"',
      '"services": [\n        "shop2"',
    );
    assertFinding(assembleTexts(unknown), 'unknown service "shop2"');
    const model = edited(
      'base',
      '"services": [\n        "shop"',
      '"services": [\n        "chat"',
    );
    assertFinding(assembleTexts(model), '"chat" is a model service');
  });

  it('refuses an adapter whose base model no service runs', () => {
    const values = edited('base', '"baseModel": "m"', '"baseModel": "n"');
    assertFinding(assembleTexts(values), 'no model service runs');
  });
});
