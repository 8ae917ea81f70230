/** Runs node:test over compiled test files and gathers one result for each test. */
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {run} from 'node:test';

/** Upper bound of one test file, above the slowest property run. */
const FILE_TIMEOUT_MS = 120_000;

/** Compiled test files that still have a source. */
export function testFiles() {
  const packages = readdirSync('packages').map(name => join('packages', name));
  return [...packages, 'platform']
    .map(folder => join(folder, 'dist', 'test'))
    .filter(folder => existsSync(folder))
    .flatMap(folder =>
      readdirSync(folder)
        .filter(file => file.endsWith('.test.js'))
        .map(file => join(folder, file)),
    )
    .filter(file =>
      existsSync(file.replace('/dist/', '/').replace(/js$/, 'ts')),
    )
    .sort();
}

/** Runs node:test over the files; resolves to one result for each leaf test. */
export async function unitResults(files) {
  const results = [];
  const path = [];
  const stream = run({files, concurrency: 4, timeout: FILE_TIMEOUT_MS});
  stream.on('test:start', event => {
    path.length = event.nesting;
    path[event.nesting] = event.name;
  });
  const record = passed => event => {
    if (event.details?.type === 'suite') return;
    // Node reports each file as a test of its own; a file without failures adds nothing.
    if (passed && files.some(file => event.name.endsWith(file))) return;
    const name = [...path.slice(0, event.nesting), event.name].join(' > ');
    results.push({name, passed, error: event.details?.error});
  };
  stream.on('test:pass', record(true));
  stream.on('test:fail', record(false));
  for await (const event of stream) {
    if (event.type === 'test:stderr') process.stderr.write(event.data.message);
  }
  return results;
}
