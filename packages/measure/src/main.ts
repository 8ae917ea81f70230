/** Command line of the policy measurement. */
import meow from 'meow';
import {measure, type Measurement} from './report.js';
import type {Fault} from './simulation.js';
import {DEPLOYMENTS, type Shift} from './trace.js';

const cli = meow(
  `
  Usage
    $ npm run measure -- --deployment NAME --seed N

  Options
    --deployment  medellin or ironbark
    --seed        seed of the trace
    --shift       none, popularity or tail
    --fault       none, restart or store-slow
    --zipf        exponent of the Zipf distribution of popularity
    --rate        requests per second; by default, found with the baselines
    --overload    also measure useful answers at 0.5 to 2 times the offered load
    --json        print one JSON object
`,
  {
    importMeta: import.meta,
    flags: {
      deployment: {
        type: 'string',
        default: 'medellin',
        choices: Object.keys(DEPLOYMENTS),
      },
      seed: {type: 'number', default: 1},
      shift: {
        type: 'string',
        default: 'none',
        choices: ['none', 'popularity', 'tail'],
      },
      fault: {
        type: 'string',
        default: 'none',
        choices: ['none', 'restart', 'store-slow'],
      },
      zipf: {type: 'number', default: 1.1},
      rate: {type: 'number'},
      overload: {type: 'boolean', default: false},
      json: {type: 'boolean', default: false},
    },
  },
);

function formatRefusals(refused: Readonly<Record<string, number>>): string {
  const counts = Object.entries(refused).map(
    ([reason, count]) => `${reason} ${count}`,
  );
  return counts.length > 0 ? counts.join(', ') : 'none';
}

function formatMeasurement(result: Measurement): readonly string[] {
  const {deployment, seed, requestsPerSecond, floorLoads} = result;
  const usefulAnswers = Object.entries(result.usefulPerSecond).map(
    ([factor, rate]) => `${factor}x ${rate.toFixed(2)}/s`,
  );
  const policies = Object.entries(result.policies).map(([name, figures]) =>
    [
      name.padEnd(13),
      `stalls ${figures.loadStalls.toFixed(3)}`,
      `loads ${figures.loads} (${(figures.loads / floorLoads).toFixed(2)} of floor)`,
      `batch ${figures.batchEfficiency.toFixed(4)}`,
      `first token ${figures.firstTokenMs.p50}/${figures.firstTokenMs.p95}/${figures.firstTokenMs.p99} ms`,
      `stalled p95 ${figures.stallWaitP95Ms} ms`,
      `in time ${figures.servedInTime.toFixed(3)}`,
      `peak ${figures.peakLoadsPerSecond}/s`,
      `burst ${figures.largestBurst.toFixed(2)}`,
      `busiest ${figures.busiestTarget.toFixed(2)}`,
      `recovery ${figures.recoverySeconds ?? '-'} s`,
      `refused: ${formatRefusals(figures.refused)}`,
    ].join('  '),
  );
  return [
    `${deployment} seed ${seed}  ${requestsPerSecond.toFixed(2)} requests/s  floor ${floorLoads} loads`,
    ...policies,
    ...(usefulAnswers.length > 0
      ? [`useful answers of balsamnotch by load: ${usefulAnswers.join(', ')}`]
      : []),
  ];
}

const {
  deployment: name,
  seed,
  shift,
  fault,
  zipf,
  rate,
  overload,
  json,
} = cli.flags;
const deployment = DEPLOYMENTS[name];
if (deployment === undefined) cli.showHelp(2);
else {
  const result = measure(deployment, {
    seed,
    shift: shift as Shift,
    fault: fault as Fault,
    zipfExponent: zipf,
    requestsPerSecond: rate,
    overload,
  });
  console.log(
    json ? JSON.stringify(result) : formatMeasurement(result).join('\n'),
  );
}
