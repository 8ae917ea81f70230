import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {cpSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {runCommand, temporaryFolder} from './fixtures.js';

const ROOT = join(import.meta.dirname, '../../../..');

const MEDELLIN = join(ROOT, 'examples/medellin/configuration');

const SETTINGS = {
  name: 't1',
  role: 'target',
  ordinal: 0,
  service: 'booking',
  failureDomain: 'bello',
  listen: '127.0.0.1:0',
  configService: 'http://127.0.0.1:1',
  vmList: 'http://127.0.0.1:2',
  plain: 'http://127.0.0.1:3',
};

describe('check', () => {
  it('detects the kind of each example by its content and reports no findings', async () => {
    for (const example of ['medellin', 'ironbark']) {
      const folder = join(ROOT, 'examples', example);
      const {code, out} = await runCommand([
        'check',
        join(folder, 'questionnaire.jsonc'),
        join(folder, 'configuration'),
        join(folder, 'configuration/manifest.json'),
      ]);
      assert.equal(code, 0, out);
    }
  });

  it('prints the findings of all paths, each with file, line and column', async t => {
    const folder = temporaryFolder(t);
    const settings = join(folder, 's.jsonc');
    const other = join(folder, 'o.jsonc');
    const missing = join(folder, 'missing');
    const wrong = {...SETTINGS, failureDomain: 'maranoa'};
    writeFileSync(settings, JSON.stringify(wrong, null, 2));
    writeFileSync(other, '{"answers": 1}');
    const {code, out} = await runCommand([
      'check',
      MEDELLIN,
      settings,
      other,
      missing,
    ]);
    assert.equal(code, 1);
    assert.match(out, /s\.jsonc:6:20: .*unknown failure domain "maranoa"/);
    assert.match(out, /o\.jsonc:1:1: neither settings/);
    assert.match(out, /missing:1:1: ENOENT/);
  });

  it('reports settings files with the same name or the same ordinal', async t => {
    const folder = temporaryFolder(t);
    const paths = ['a.jsonc', 'b.jsonc'].map(file => join(folder, file));
    paths.forEach(path => writeFileSync(path, JSON.stringify(SETTINGS)));
    const {code, out} = await runCommand(['check', ...paths]);
    assert.equal(code, 1);
    assert.match(out, /b\.jsonc:1:1: duplicate name "t1", also in .*a\.jsonc/);
    assert.match(out, /b\.jsonc:1:1: duplicate ordinal 0 of "booking"/);
  });

  it('reports a value that no longer matches the hash in the manifest', async t => {
    const folder = join(temporaryFolder(t), 'configuration');
    cpSync(MEDELLIN, folder, {recursive: true});
    const manifest = readFileSync(join(folder, 'manifest.json'), 'utf8');
    const {values} = JSON.parse(manifest) as {values: {sha256: string}[]};
    const hash = values[0]!.sha256.slice(0, 12);
    const base = join(folder, `values/base.${hash}.json`);
    writeFileSync(base, readFileSync(base, 'utf8').replace('60', '61'));
    const {code, out} = await runCommand(['check', folder]);
    assert.equal(code, 1);
    assert.match(out, /manifest\.json:\d+:\d+: .*another hash/);
  });

  it('prints the changes, and rejects a change without a higher revision', async t => {
    const folder = temporaryFolder(t);
    const file = join(folder, 'q.jsonc');
    const text = readFileSync(
      join(ROOT, 'examples/medellin/questionnaire.jsonc'),
      'utf8',
    );
    const checkRevision = async (revision: number) => {
      const changed = text
        .replace('"revision": 1', `"revision": ${revision}`)
        .replace('"targets": 6', '"targets": 7');
      writeFileSync(file, changed);
      const flags = {answers: file, out: folder, force: true};
      await runCommand(['init'], {flags});
      return runCommand(['check', folder], {flags: {against: MEDELLIN}});
    };
    const same = await checkRevision(1);
    assert.equal(same.code, 1);
    assert.match(same.out, /revision must be above 1/);
    const higher = await checkRevision(2);
    assert.equal(higher.code, 0);
    assert.match(higher.out, /service assistant: targets: 6 -> 7/);
  });

  it('runs as a binary with the documented exit codes, and rejects unknown flags', () => {
    const binary = join(ROOT, 'packages/cli/bin/balsamnotch.js');
    const runBinary = (...args: string[]) =>
      spawnSync(process.execPath, [binary, ...args], {encoding: 'utf8'});
    assert.equal(runBinary('check', MEDELLIN).status, 0);
    assert.equal(runBinary('check', join(ROOT, 'package.json')).status, 1);
    assert.equal(runBinary('check', '--unknown').status, 2);
    assert.match(runBinary('--help').stdout, /Exit codes/);
  });
});
