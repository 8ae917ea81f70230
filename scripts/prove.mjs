/**
 * Runs all properties from one seed, or from several in a row:
 * `npm run prove -- --seed N [--count K]`. On a failure it prints the seed and
 * the path that fast-check needs to repeat it, and exits 1.
 */
import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {testFiles, unitResults} from './units.mjs';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    count: {type: 'string', default: '1'},
  },
});

const files = testFiles().filter(file =>
  readFileSync(file, 'utf8').includes('BALSAMNOTCH_SEED'),
);
let failures = 0;
for (let i = 0; i < Number(values.count); i++) {
  const seed = Number(values.seed) + i;
  process.env.BALSAMNOTCH_SEED = String(seed);
  const results = await unitResults(files);
  const failed = results.filter(result => !result.passed);
  failures += failed.length;
  for (const {name, error} of failed) {
    const cause = error?.cause ?? error;
    console.log(
      `FAILED with seed ${seed}: ${name}\n${cause?.stack ?? cause}\n`,
    );
  }
  const passed = results.length - failed.length;
  console.log(`seed ${seed}: ${passed} passed, ${failed.length} failed`);
}
process.exit(failures > 0 ? 1 : 0);
