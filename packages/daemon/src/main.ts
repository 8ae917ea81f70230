#!/usr/bin/env node
/** Command `balsamnotchd`: runs one node of balsamnotch in the role given in its settings. */
import {readFileSync} from 'node:fs';
import meow from 'meow';
import {parseSettings} from '@balsamnotch/config';
import {runNode} from './node/node.js';

/** Exit code for settings that cannot be read or are invalid. */
const EXIT_SETTINGS = 2;

const cli = meow(
  `
  Usage
    $ balsamnotchd --settings FILE

  Exit codes
    0  the planned stop has ended
    1  the node failed
    2  the settings cannot be read or are invalid
`,
  {
    importMeta: import.meta,
    flags: {settings: {type: 'string', isRequired: true}},
  },
);

function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    console.error(`${file}: ${(error as Error).message}`);
    process.exit(EXIT_SETTINGS);
  }
}

const file = cli.flags.settings;
const settings = parseSettings(readSettingsFile(file), file);
if (settings.isErr()) {
  for (const finding of settings.error) {
    console.error(
      `${finding.file}:${finding.line}:${finding.column}: ${finding.message}`,
    );
  }
  process.exit(EXIT_SETTINGS);
}
try {
  await runNode(settings.value, line => process.stdout.write(`${line}\n`));
  process.exit(0);
} catch (error) {
  console.error((error as Error).message);
  process.exit(1);
}
