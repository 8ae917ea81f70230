/**
 * Runs all unit tests and property-based tests (node:test), then all scenarios (cucumber), and prints
 * the totals. A test listed in KNOWN-RED.txt does not make the run fail when it fails, but is printed.
 *
 * KNOWN-RED.txt holds one entry per line with fields separated by " | ". The first field is the full
 * name of the test.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {findTestFiles, runTestFiles} from './units.mjs';

/** Returns the full names of the tests listed in KNOWN-RED.txt. */
function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.includes(' | ') && !line.startsWith('#'))
      .map(line => line.split(' | ')[0].trim()),
  );
}

/** Runs cucumber as a separate process and returns one result per scenario. */
function runScenarios() {
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

const knownFailures = readKnownFailures();
const results = [...(await runTestFiles(findTestFiles())), ...runScenarios()];
const failed = results.filter(result => !result.passed);
const unexpected = failed.filter(result => !knownFailures.has(result.name));
for (const result of failed) {
  const label = knownFailures.has(result.name) ? 'KNOWN RED' : 'FAILED';
  const error = result.error?.cause ?? result.error;
  console.log(`${label}: ${result.name}\n${error?.stack ?? error}\n`);
}
for (const name of knownFailures) {
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
