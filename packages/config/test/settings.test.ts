import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {assembleConfiguration, parseSettings} from '@balsamnotch/config';
import fc from 'fast-check';
import {assertFinding, findingsOf, generateSample} from './fixtures.js';

const TARGET = {
  name: 't1',
  role: 'target',
  ordinal: 0,
  service: 'chat',
  failureDomain: 'a',
  listen: '127.0.0.1:0',
  configService: 'http://127.0.0.1:1/',
  vmList: 'http://127.0.0.1:2',
  engine: 'http://127.0.0.1:3',
};

const parse = (value: unknown) => parseSettings(JSON.stringify(value), 's');

describe('parseSettings', () => {
  it('accepts comments and fills in defaults', () => {
    const text = `// node\n${JSON.stringify(TARGET)}`;
    const settings = parseSettings(text, 's').unwrap();
    assert.equal(settings.logLevel, 'info');
    assert.equal(settings.limits.bodyBytes, 1_048_576);
    assert.equal(settings.plain, '');
    assert.equal(settings.configService, 'http://127.0.0.1:1');
  });

  it('reports all faults together, each at its position', () => {
    const text = `{
  "name": "a/b",
  "role": "entry",
  "failureDomain": "a",
  "listen": "localhost:1",
  "callerListen": "[::1]:70000",
  "configService": "http://127.0.0.1:1",
  "vmList": "file:///vms",
  "extra": 1,
  "limits": {"bodyBytes": 0}
}`;
    assert.deepEqual(findingsOf(parseSettings(text, 's')), [
      's:2:11: name: must be 1 to 64 characters of A-Z a-z 0-9 . _ -',
      's:5:13: listen: must be ip:port',
      's:6:19: callerListen: must be ip:port',
      's:8:13: vmList: must be an http:// URL without user, query or fragment',
      's:9:3: extra: unknown key',
      's:10:27: limits.bodyBytes: must be at least 1',
    ]);
  });

  it('rejects keys that belong to the other role', () => {
    assertFinding(
      parse({...TARGET, callerListen: '1.2.3.4:5'}),
      'callerListen',
    );
    assertFinding(
      parse({...TARGET, role: 'entry'}),
      'engine: is for the other role only',
    );
  });

  it('rejects a target with neither or both of engine and plain', () => {
    const message = 'exactly one of engine and plain';
    assertFinding(parse({...TARGET, engine: undefined}), message);
    assertFinding(parse({...TARGET, plain: 'http://127.0.0.1:4'}), message);
  });

  it('rejects repeated keys, because parsers differ in which value they use', () => {
    const text = JSON.stringify(TARGET).replace('{', '{"name": "t0", ');
    assertFinding(parseSettings(text, 's'), 'name: key is repeated');
  });

  // Strict JSON takes a fast path, which must not miss faults that the tree parser
  // reports, such as repeated keys.
  it('reports the same findings for strict JSON and JSON with comments', () => {
    const key = fc.constantFrom('name', 'role', 'limits', '__proto__', 'a:"\\');
    const object = (member: fc.Arbitrary<string>) =>
      fc
        .array(fc.tuple(key, member), {maxLength: 5})
        .map(pairs =>
          pairs.map(([name, text]) => `${JSON.stringify(name)}: ${text}`),
        )
        .map(pairs => `{${pairs.join(',\n')}}`);
    const leaf = fc.json({maxDepth: 1});
    fc.assert(
      fc.property(object(fc.oneof(leaf, object(leaf))), text => {
        const strictFindings = findingsOf(parseSettings(text, 's'));
        const commentedFindings = findingsOf(
          parseSettings(`${text} // end`, 's'),
        );
        assert.deepEqual(strictFindings, commentedFindings);
      }),
      {seed: 5, numRuns: 500},
    );
  });

  it('checks the failure domain and the service against a configuration', () => {
    const {manifest, values} = generateSample();
    const configuration = assembleConfiguration(manifest, values).unwrap();
    const parseWithConfiguration = (value: unknown) =>
      parseSettings(JSON.stringify(value), 's', configuration);
    assert.ok(parseWithConfiguration(TARGET).isOk());
    assertFinding(
      parseWithConfiguration({...TARGET, failureDomain: 'x'}),
      'unknown failure domain "x"',
    );
    assertFinding(
      parseWithConfiguration({...TARGET, service: 'y'}),
      'unknown service "y"',
    );
    assertFinding(
      parseWithConfiguration({...TARGET, service: 'shop'}),
      'needs plain',
    );
  });

  it('never throws for arbitrary text, deep nesting or special keys', () => {
    const texts = fc.oneof(
      fc.string(),
      fc.json(),
      fc.stringMatching(/^[[\]{}":,/*a_0 \n]*$/),
      fc.constant('['.repeat(100_000)),
      fc.constant('{"__proto__": {"role": "entry"}}'),
    );
    fc.assert(
      fc.property(texts, text => parseSettings(text, 's').isErr()),
      {seed: 1, numRuns: 500},
    );
  });
});
