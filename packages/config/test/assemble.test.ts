import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  assembleConfiguration,
  contentHash,
  publishedName,
  type Configuration,
} from '@balsamnotch/config';
import fc from 'fast-check';
import {assertFinding, generateSample} from './fixtures.js';

const SAMPLE = generateSample();

interface NamedValue {
  readonly name: string;
  readonly text: string;
}

/** Assembles values under a manifest with their correct hashes. */
function assembleTexts(
  values: readonly NamedValue[],
  revision: unknown = 1,
  previous?: Configuration,
) {
  const listed = values.map(({name, text}) => ({
    name,
    sha256: contentHash(text),
  }));
  const manifest = JSON.stringify({deployment: 'd', revision, values: listed});
  return assembleConfiguration(
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

/** Returns the values of the sample with one text edited. */
function sampleWithEdit(
  name: string,
  from: string,
  to: string,
): readonly NamedValue[] {
  return [...SAMPLE.values].map(([key, text]) =>
    key.startsWith(`${name}.`)
      ? {name, text: text.replace(from, to)}
      : {name: key.split('.')[0]!, text},
  );
}

describe('assembleConfiguration', () => {
  it('returns the adapters of all shards and the declared tolerances', () => {
    const {manifest, values} = SAMPLE;
    const configuration = assembleConfiguration(manifest, values).unwrap();
    assert.equal(configuration.revision, 3);
    assert.equal(configuration.adapters.size, 1501);
    assert.equal(configuration.adapters.get('p-1500')?.current, '2');
    assert.deepEqual(configuration.tolerances, {
      stallWeight: 4,
      batchWaitMs: 0,
    });
  });

  it('rejects the configuration when any character of a value has changed', () => {
    const keys = [...SAMPLE.values.keys()];
    fc.assert(
      fc.property(
        fc.constantFrom(...keys),
        fc.nat(),
        fc.string({minLength: 1, maxLength: 1}),
        (key, position, character) => {
          const text = SAMPLE.values.get(key)!;
          const index = position % text.length;
          fc.pre(text[index] !== character);
          const changed =
            text.slice(0, index) + character + text.slice(index + 1);
          const values = new Map(SAMPLE.values).set(key, changed);
          return assembleConfiguration(SAMPLE.manifest, values).isErr();
        },
      ),
      {seed: 3, numRuns: 60},
    );
  });

  it('never throws for a manifest or base value of any text', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        assert.ok(assembleConfiguration(text, new Map()).isErr());
        assert.ok(assembleTexts([{name: 'base', text}]).isErr());
      }),
      {seed: 4, numRuns: 300},
    );
  });

  // A reused shard is not parsed again, so faults that a new base value or another
  // shard causes could be missed.
  it('checks reused shards against the new base value and the other shards', () => {
    const previous = assembleConfiguration(
      SAMPLE.manifest,
      SAMPLE.values,
    ).unwrap();
    const reassembled = assembleConfiguration(
      SAMPLE.manifest,
      SAMPLE.values,
      previous,
    );
    assert.deepEqual(reassembled.unwrap(), previous);
    const otherModel = sampleWithEdit(
      'base',
      '"baseModel": "m"',
      '"baseModel": "n"',
    );
    assertFinding(
      assembleTexts(otherModel, 4, previous),
      'no model service runs',
    );
    const otherGroup = sampleWithEdit('base', '"g"', '"gg"');
    assertFinding(assembleTexts(otherGroup, 4, previous), 'unknown group "gg"');
    const repeated = sampleWithEdit(
      'adapters-001',
      '"name":"q"',
      '"name":"p-0001"',
    );
    assertFinding(assembleTexts(repeated, 4, previous), 'duplicate name');
  });

  it('rejects missing and oversized values, and a missing base value in the manifest', () => {
    assertFinding(
      assembleConfiguration(SAMPLE.manifest, new Map()),
      'is missing',
    );
    const big = ' '.repeat(1_000_001);
    assertFinding(assembleTexts([{name: 'base', text: big}]), '1000001 bytes');
    assertFinding(assembleTexts([]), 'value "base" is not listed');
  });

  it('rejects revisions that are not positive integers', () => {
    const values = sampleWithEdit('base', 'x', 'x');
    for (const revision of [0, -1, 1.5, '1', 2 ** 53, null]) {
      assertFinding(assembleTexts(values, revision), 'revision must be');
    }
  });

  it('reports faults of several values together', () => {
    const values = sampleWithEdit('base', '"g"', '"gg"').map(({name, text}) =>
      name === 'adapters-001'
        ? {name, text: text.replace('"current":"1"', '"current":"7"')}
        : {name, text},
    );
    const result = assembleTexts(values, 0);
    assertFinding(result, 'unknown group "gg"');
    assertFinding(result, 'current version "7" is not in versions');
    assertFinding(result, 'revision must be');
  });

  it('rejects an adapter name that occurs in two shards', () => {
    const values = sampleWithEdit(
      'adapters-001',
      '"name":"q"',
      '"name":"p-0001"',
    );
    assertFinding(assembleTexts(values), 'duplicate name "p-0001"');
  });

  it('rejects callers that refer to unknown services or to model services', () => {
    const unknown = sampleWithEdit(
      'base',
      '"services": [\n        "shop"',
      '"services": [\n        "shop2"',
    );
    assertFinding(assembleTexts(unknown), 'unknown service "shop2"');
    const model = sampleWithEdit(
      'base',
      '"services": [\n        "shop"',
      '"services": [\n        "chat"',
    );
    assertFinding(assembleTexts(model), '"chat" is a model service');
  });

  it('rejects an adapter whose base model no service runs', () => {
    const values = sampleWithEdit(
      'base',
      '"baseModel": "m"',
      '"baseModel": "n"',
    );
    assertFinding(assembleTexts(values), 'no model service runs');
  });
});
