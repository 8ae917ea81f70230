import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {
  assembleConfiguration,
  assembleConfigurationFolder,
  contentHash,
  generateConfiguration,
  parseQuestionnaire,
} from '@balsamnotch/config';
import fc from 'fast-check';
import {
  SAMPLE_ANSWERS,
  assertFinding,
  findingsOf,
  generateSample,
} from './fixtures.js';

const EXAMPLES = join(import.meta.dirname, '../../../../examples');

const parse = (overrides: Record<string, unknown>) =>
  parseQuestionnaire(JSON.stringify({...SAMPLE_ANSWERS, ...overrides}), 'q');

describe('questionnaire', () => {
  describe('parseQuestionnaire', () => {
    it('reports faults across fields together with schema faults', () => {
      const findings = findingsOf(
        parse({
          failureDomains: ['a', 'a'],
          entries: 0,
          adapters: [
            {name: 'q', group: 'h', versions: ['1', '1'], current: '9'},
            {prefix: 'p', count: 'x', group: 'h', versions: ['1']},
          ],
        }),
      ).map(finding => finding.replace(/^q:\d+:\d+: /, ''));
      assert.deepEqual(findings, [
        'failureDomains[1]: duplicate value "a"',
        'entries: must be at least 1',
        'adapters[0].versions[1]: duplicate value "1"',
        'adapters[0].current: current version "9" is not in versions',
        'adapters[1].count: must be an integer',
        'callers[0].groups[0]: unknown group "g"',
      ]);
    });

    it('rejects an adapter whose name a pattern also generates', () => {
      const [pattern] = SAMPLE_ANSWERS.adapters;
      const single = {name: 'p-0007', group: 'h', versions: ['1']};
      assertFinding(parse({adapters: [pattern, single]}), 'duplicate adapter');
    });

    it('rejects a pattern that generates a name too long for a ticket', () => {
      const pattern = {prefix: 'p'.repeat(61), count: 1};
      const adapters = [{...pattern, group: 'g', versions: ['1']}];
      assertFinding(parse({adapters}), 'is too long');
    });

    it('rejects callers with no key, two keys or the key of another caller', () => {
      const [caller] = SAMPLE_ANSWERS.callers;
      const hash = contentHash('secret-key');
      const oneKeyMessage = 'exactly one of key and keySha256';
      assertFinding(
        parse({callers: [{...caller, key: undefined}]}),
        oneKeyMessage,
      );
      assertFinding(
        parse({callers: [{...caller, keySha256: hash}]}),
        oneKeyMessage,
      );
      const hashOnlyCaller = {
        ...caller,
        name: 'd',
        key: undefined,
        keySha256: hash,
      };
      for (const callers of [
        [caller, hashOnlyCaller],
        [hashOnlyCaller, caller],
      ]) {
        assertFinding(parse({callers}), 'another caller has the same key');
      }
    });

    it('rejects a caller limit below the minimum that the entries grant in total', () => {
      const callers = [{...SAMPLE_ANSWERS.callers[0], requestsPerSecond: 1}];
      assertFinding(parse({callers}), 'must be at least 2');
    });

    it('rejects an operation whose URL is reserved for issuing tickets', () => {
      const shop = {
        ...SAMPLE_ANSWERS.services[1],
        operations: [{name: 'tickets', repeatable: true}],
      };
      const services = [SAMPLE_ANSWERS.services[0], shop];
      assertFinding(parse({services}), 'must not be "tickets"');
    });
  });

  describe('generateConfiguration', () => {
    it('writes the hash of a key and never its plaintext', () => {
      const {values} = generateSample();
      const texts = [...values.values()].join('');
      assert.ok(!texts.includes('secret-key'));
      assert.ok(texts.includes(contentHash('secret-key')));
    });

    it('is deterministic, and its output assembles for any valid answers', () => {
      const name = fc.stringMatching(/^[A-Za-z0-9_-]{1,59}$/);
      const pattern = fc.record({
        prefix: name,
        count: fc.integer({min: 1, max: 2500}),
        versions: fc.uniqueArray(name, {minLength: 1, maxLength: 40}),
        group: name,
      });
      fc.assert(
        fc.property(fc.array(pattern, {maxLength: 3}), adapters => {
          const parsed = parse({adapters, callers: []});
          if (parsed.isErr()) {
            assertFinding(parsed, 'duplicate adapter');
            return;
          }
          const first = generateConfiguration(parsed.value);
          assert.deepEqual(generateConfiguration(parsed.value), first);
          const configuration = assembleConfiguration(
            first.manifest,
            first.values,
          ).unwrap();
          const total = adapters.reduce((sum, {count}) => sum + count, 0);
          assert.equal(configuration.adapters.size, total);
        }),
        {seed: 2, numRuns: 20},
      );
    });
  });

  describe('examples', () => {
    for (const example of ['medellin', 'ironbark']) {
      it(`the configuration of ${example} matches its questionnaire`, () => {
        const folder = join(EXAMPLES, example);
        const text = readFileSync(join(folder, 'questionnaire.jsonc'), 'utf8');
        const generated = generateConfiguration(
          parseQuestionnaire(text, 'q').unwrap(),
        );
        const paths = ['manifest.json'].concat(
          readdirSync(join(folder, 'configuration/values'), 'utf8').map(
            file => `values/${file}`,
          ),
        );
        const onDisk = new Map(
          paths.map(path => [
            path,
            readFileSync(join(folder, 'configuration', path), 'utf8'),
          ]),
        );
        assert.equal(onDisk.get('manifest.json'), generated.manifest);
        const configuration = assembleConfigurationFolder(onDisk).unwrap();
        assert.equal(configuration.adapters.size, 3000);
        assert.equal(onDisk.size, generated.values.size + 1);
      });
    }
  });
});
