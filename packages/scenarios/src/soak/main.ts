#!/usr/bin/env node
/** Command line of the soak test. */
import {randomInt} from 'node:crypto';
import meow from 'meow';
import {runSoak} from './run.js';

const {flags} = meow(
  `
  Runs real processes under load and seeded faults, and checks the responses of
  callers against the effects at the targets. Exits 1 if a promise was broken.

  Usage
    $ npm run soak -- [--seed N] [--count K] [--seconds S]

  Options
    --seed     first seed; default: random, printed with the result
    --count    number of consecutive seeds (1)
    --seconds  duration of the faults for each seed (20)
`,
  {
    importMeta: import.meta,
    flags: {
      seed: {type: 'number'},
      count: {type: 'number', default: 1},
      seconds: {type: 'number', default: 20},
    },
  },
);

const MAX_SEED = 1_000_000_000;
const firstSeed = flags.seed ?? randomInt(MAX_SEED);
let failedSeeds = 0;
for (let seed = firstSeed; seed < firstSeed + flags.count; seed++) {
  const {faults, confirmationCount, streamCount, failedCount, violations} =
    await runSoak(seed, flags.seconds * 1_000);
  console.log(
    `seed ${seed}: ${faults.length} faults, ${confirmationCount} confirmations, ` +
      `${streamCount} streams, ${failedCount} refused or broken off, ` +
      `${violations.length} promises broken`,
  );
  for (const violation of violations) console.log(`  ${violation}`);
  if (violations.length > 0) {
    failedSeeds += 1;
    for (const {kind, node, atMs, lengthMs} of faults) {
      console.log(
        `  fault ${kind} ${node} at ${Math.round(atMs)} for ${Math.round(lengthMs)} ms`,
      );
    }
  }
}
process.exit(failedSeeds > 0 ? 1 : 0);
