/**
 * Runs all unit tests and properties (node:test), then all scenarios (cucumber), and prints one line
 * of totals. Tests listed in KNOWN-RED.txt may fail without failing the run; each is printed.
 *
 * KNOWN-RED.txt: one entry a line, fields separated by " | "; the first field is the test's full name.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {testFiles, unitResults} from './units.mjs';

function knownRed() {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.includes(' | ') && !line.startsWith('#'))
      .map(line => line.split(' | ')[0].trim()),
  );
}

/** Runs cucumber as its own process; resolves to one result for each scenario. */
function scenarioResults() {
  if (!existsSync('cucumber.json')) return [];
  const folder = mkdtempSync(join(tmpdir(), 'balsamnotch-cucumber-'));
  const report = join(folder, 'report.json');
  const child = spawnSync(
    process.execPath,
    [
      'node_modules/@cucumber/cucumber/bin/cucumber.js',
      '--format',
      `json:${report}`,
    ],
    {stdio: ['ignore', 'inherit', 'inherit']},
  );
  if (!existsSync(report)) {
    return [{name: 'cucumber', passed: false, error: `exit ${child.status}`}];
  }
  const features = JSON.parse(readFileSync(report, 'utf8') || '[]');
  rmSync(folder, {recursive: true});
  return features.flatMap(feature =>
    feature.elements.map(scenario => {
      const failed = scenario.steps.filter(
        step => step.result.status !== 'passed',
      );
      return {
        name: `${feature.name} > ${scenario.name}`,
        passed: failed.length === 0,
        error: failed
          .map(
            step =>
              `${step.name}: ${step.result.error_message ?? step.result.status}`,
          )
          .join('\n'),
      };
    }),
  );
}

const allowed = knownRed();
const results = [...(await unitResults(testFiles())), ...scenarioResults()];
const failed = results.filter(result => !result.passed);
const unexpected = failed.filter(result => !allowed.has(result.name));
for (const result of failed) {
  const label = allowed.has(result.name) ? 'KNOWN RED' : 'FAILED';
  const error = result.error?.cause ?? result.error;
  console.log(`${label}: ${result.name}\n${error?.stack ?? error}\n`);
}
for (const name of allowed) {
  if (!failed.some(result => result.name === name)) {
    console.log(
      `KNOWN-RED.txt lists a test that passed or did not run: ${name}`,
    );
  }
}
console.log(
  `${results.length - failed.length} passed, ${failed.length} failed`,
);
process.exit(unexpected.length > 0 || results.length === 0 ? 1 : 0);
