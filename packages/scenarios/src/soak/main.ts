#!/usr/bin/env node
/** Command line of the soak. */
import {randomInt} from 'node:crypto';
import meow from 'meow';
import {runSoak} from './run.js';

const {flags} = meow(
  `
  Runs real processes under load and seeded faults, and checks what callers were
  told against what the targets saw. Exits 1 when a promise was broken.

  Usage
    $ npm run soak -- [--seed N] [--count K] [--seconds S]

  Options
    --seed     first seed; default: drawn now and printed
    --count    number of seeds in a row (1)
    --seconds  length of the faults of each, in seconds (20)
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
const first = flags.seed ?? randomInt(MAX_SEED);
let broken = 0;
for (let seed = first; seed < first + flags.count; seed++) {
  const {faults, confirmations, streams, refused, violations} = await runSoak(
    seed,
    flags.seconds * 1_000,
  );
  console.log(
    `seed ${seed}: ${faults.length} faults, ${confirmations} confirmations, ` +
      `${streams} streams, ${refused} refused or broken off, ` +
      `${violations.length} promises broken`,
  );
  for (const violation of violations) console.log(`  ${violation}`);
  if (violations.length > 0) {
    broken += 1;
    for (const {kind, node, atMs, forMs} of faults) {
      console.log(
        `  fault ${kind} ${node} at ${Math.round(atMs)} for ${Math.round(forMs)} ms`,
      );
    }
  }
}
process.exit(broken > 0 ? 1 : 0);
