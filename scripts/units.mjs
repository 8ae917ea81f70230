/** Runs compiled test files with node:test and collects one result per test. */
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {run} from 'node:test';

/**
 * Timeout of a test file, in milliseconds. Exceeds the duration of the slowest property-based
 * test.
 */
const FILE_TIMEOUT_MS = 120_000;

/**
 * Test files that measure the memory of processes under load. They run one at a time after all
 * others, with nothing beside them, so that the load of other tests does not show in them.
 */
const SERIAL_FILES = /\/misbehaving-[^/]*\.test\.js$/;

/** Timeout of a serial test file, in milliseconds: each of its tests plays for about 6 s, up to 70 s when it fails. */
const SERIAL_FILE_TIMEOUT_MS = 600_000;

/** Finds the compiled test files. Skips stale ones whose source no longer exists. */
export function findTestFiles() {
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

/**
 * Runs the files with node:test, the serial ones last, and resolves to one result per test, without
 * suites.
 */
export async function runTestFiles(files) {
  const serial = files.filter(file => SERIAL_FILES.test(file));
  const others = files.filter(file => !SERIAL_FILES.test(file));
  return [
    ...(await runWith(others, {concurrency: 4, timeout: FILE_TIMEOUT_MS})),
    ...(await runWith(serial, {
      concurrency: 1,
      timeout: SERIAL_FILE_TIMEOUT_MS,
    })),
  ];
}

/** Runs the files with options of node:test and resolves to one result per test, without suites. */
async function runWith(files, options) {
  // Without files, node:test would search for some.
  if (files.length === 0) return [];
  const results = [];
  const namePath = [];
  const stream = run({files, ...options});
  stream.on('test:start', event => {
    namePath.length = event.nesting;
    namePath[event.nesting] = event.name;
  });
  const createRecorder = passed => event => {
    if (event.details?.type === 'suite') return;
    // Node.js also reports each file as a test. Ignore it if the file has no failures.
    if (passed && files.some(file => event.name.endsWith(file))) return;
    const name = [...namePath.slice(0, event.nesting), event.name].join(' > ');
    results.push({name, passed, error: event.details?.error});
  };
  stream.on('test:pass', createRecorder(true));
  stream.on('test:fail', createRecorder(false));
  for await (const event of stream) {
    if (event.type === 'test:stderr') process.stderr.write(event.data.message);
  }
  return results;
}
