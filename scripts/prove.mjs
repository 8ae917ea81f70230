/**
 * Runs all property-based tests with one seed or with several consecutive seeds:
 * `npm run prove -- --seed N [--count K]`. For each failure it prints the seed and the path that
 * fast-check needs to reproduce it. Exits 1 if a test failed.
 */
import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {findTestFiles, runTestFiles} from './units.mjs';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    count: {type: 'string', default: '1'},
  },
});

const files = findTestFiles().filter(file =>
  readFileSync(file, 'utf8').includes('BALSAMNOTCH_SEED'),
);
let failureCount = 0;
for (let i = 0; i < Number(values.count); i++) {
  const seed = Number(values.seed) + i;
  process.env.BALSAMNOTCH_SEED = String(seed);
  const results = await runTestFiles(files);
  const failed = results.filter(result => !result.passed);
  failureCount += failed.length;
  for (const {name, error} of failed) {
    const cause = error?.cause ?? error;
    console.log(
      `FAILED with seed ${seed}: ${name}\n${cause?.stack ?? cause}\n`,
    );
  }
  const passed = results.length - failed.length;
  console.log(`seed ${seed}: ${passed} passed, ${failed.length} failed`);
}
process.exit(failureCount > 0 ? 1 : 0);
