/** `init`: a configuration folder from the answers of a questionnaire. */
import {existsSync} from 'node:fs';
import {join} from 'node:path';
import {
  assemble,
  formatFinding,
  generate,
  parseQuestionnaire,
  type Finding,
} from '@balsamnotch/config';
import {Err, Ok, type Result} from 'ts-results-es';
import {EXIT, type ExitCode} from './exit.js';
import {
  MANIFEST_FILE,
  readText,
  writeConfiguration,
  writeText,
} from './files.js';
import {InputEndedError, askQuestionnaire} from './questions.js';
import {plural, type Terminal} from './terminal.js';

/** File for the answers that were given at the terminal. */
const ANSWERS_FILE = 'questionnaire.jsonc';

/** Options of {@link init}. */
export interface InitOptions {
  /** Questionnaire; asked at the terminal when absent. */
  readonly answers?: string;
  /** Folder for the configuration. */
  readonly out: string;
  /** Replaces the manifest of an existing configuration. */
  readonly force?: boolean;
}

/** The answers' text, and the file that findings name. */
interface Answers {
  readonly file: string;
  readonly text: string;
}

async function answersOf(
  {answers, out}: InitOptions,
  terminal: Terminal,
): Promise<Result<Answers, ExitCode>> {
  if (answers !== undefined) {
    const text = await readText(answers);
    if (text.isOk()) return Ok({file: answers, text: text.value});
    terminal.err(`${answers}: ${text.error.message}`);
    return Err(EXIT.unreachable);
  }
  try {
    const file = join(out, ANSWERS_FILE);
    return Ok({file, text: await askQuestionnaire(terminal)});
  } catch (error) {
    if (!(error instanceof InputEndedError)) throw error;
    terminal.err('the input ended before all questions were answered');
    return Err(EXIT.usage);
  }
}

function printFindings(
  findings: readonly Finding[],
  terminal: Terminal,
): ExitCode {
  findings.forEach(finding => terminal.out(formatFinding(finding)));
  terminal.err(`${plural(findings.length, 'finding')}, no configuration`);
  return EXIT.failed;
}

/** Generates a configuration folder; nothing of it is written when there are findings. */
export async function init(
  options: InitOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const {out, answers, force = false} = options;
  if (existsSync(join(out, MANIFEST_FILE)) && !force) {
    terminal.err(
      `${out} has a configuration; --force replaces its manifest, under a higher revision of the questionnaire`,
    );
    return EXIT.usage;
  }
  const given = await answersOf(options, terminal);
  if (given.isErr()) return given.error;
  const {file, text} = given.value;
  if (answers === undefined) {
    const written = await writeText(file, text);
    if (written.isErr()) {
      terminal.err(`${file}: ${written.error.message}`);
      return EXIT.unreachable;
    }
    terminal.out(`answers written to ${file}`);
  }
  const questionnaire = parseQuestionnaire(text, file);
  if (questionnaire.isErr()) {
    return printFindings(questionnaire.error, terminal);
  }
  const published = generate(questionnaire.value);
  const assembled = assemble(published.manifest, published.values);
  if (assembled.isErr()) return printFindings(assembled.error, terminal);
  const written = await writeConfiguration(out, published);
  if (written.isErr()) {
    terminal.err(`${out}: ${written.error.message}`);
    return EXIT.unreachable;
  }
  const {adapters, revision} = assembled.value;
  terminal.out(
    `configuration of revision ${revision} with ${plural(adapters.size, 'adapter')} in ${plural(published.values.size, 'value')} written to ${out}`,
  );
  return EXIT.ok;
}
