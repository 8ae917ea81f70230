import assert from 'node:assert/strict';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {contentHash} from '@balsamnotch/config';
import {runCommand, temporaryFolder} from './fixtures.js';

/** Answers at the terminal; invalid ones make the question repeat. */
const INPUT_LINES = [
  'new team',
  'newteam',
  'north, south',
  '2',
  'helper',
  'model',
  '0',
  '4',
  'base-7b',
  'yes',
  'shop',
  'plain',
  '2',
  'order',
  'no',
  'yes',
  'stock',
  'yes',
  '',
  'no',
  'yes',
  'style-',
  '12',
  'styles',
  'v1 v2',
  'no',
  'yes',
  'web',
  'styles',
  'shop',
  '20',
  'no',
  '',
  '',
  '',
  '',
  'load_stalls',
];

describe('init', () => {
  it('asks at the terminal and stores only the hash of a caller key', async t => {
    const out = temporaryFolder(t);
    const result = await runCommand(['init'], {
      flags: {out},
      inputLines: INPUT_LINES,
    });
    assert.equal(result.code, 0, result.out + result.err);
    const key = /shown only now: (\S+)/.exec(result.out)?.[1] ?? '';
    const answers = readFileSync(join(out, 'questionnaire.jsonc'), 'utf8');
    assert.ok(!answers.includes(key));
    assert.ok(answers.includes(contentHash(key)));
    const checked = await runCommand(['check', out]);
    assert.equal(checked.code, 0, checked.out);
  });

  it('writes no configuration when the input ends early', async t => {
    const out = temporaryFolder(t);
    const inputLines = INPUT_LINES.slice(0, 9);
    const result = await runCommand(['init'], {
      flags: {out},
      inputLines,
    });
    assert.equal(result.code, 2);
    assert.ok(!existsSync(join(out, 'manifest.json')));
  });

  it('does not replace an existing configuration without --force', async t => {
    const out = temporaryFolder(t);
    writeFileSync(join(out, 'manifest.json'), 'kept');
    const result = await runCommand(['init'], {
      flags: {out},
      inputLines: INPUT_LINES,
    });
    assert.equal(result.code, 2);
    assert.equal(readFileSync(join(out, 'manifest.json'), 'utf8'), 'kept');
  });

  it('writes no configuration when the answers have findings', async t => {
    const out = temporaryFolder(t);
    const answers = join(out, 'q.jsonc');
    writeFileSync(answers, '{"entries": 0}');
    const target = join(out, 'configuration');
    const flags = {answers, out: target};
    const result = await runCommand(['init'], {flags});
    assert.equal(result.code, 1);
    assert.match(result.out, /q\.jsonc:1:13: entries: must be at least 1/);
    assert.ok(!existsSync(target));
  });
});
