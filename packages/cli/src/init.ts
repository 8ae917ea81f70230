/** `init`: generates a configuration folder from the answers of a questionnaire. */
import {existsSync} from 'node:fs';
import {join} from 'node:path';
import {
  assembleConfiguration,
  formatFinding,
  generateConfiguration,
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
import {pluralize, type Terminal} from './terminal.js';

/** Name of the file that stores answers given at the terminal. */
const ANSWERS_FILE = 'questionnaire.jsonc';

/** Options of {@link init}. */
export interface InitOptions {
  /** Path of the questionnaire; when absent, the questions are asked at the terminal. */
  readonly answers?: string;
  /** Folder for the configuration. */
  readonly out: string;
  /** Replaces the manifest of an existing configuration. */
  readonly force?: boolean;
}

/** Text of a questionnaire, and the path that findings refer to. */
interface QuestionnaireSource {
  readonly file: string;
  readonly text: string;
}

async function obtainAnswers(
  {answers, out}: InitOptions,
  terminal: Terminal,
): Promise<Result<QuestionnaireSource, ExitCode>> {
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
  terminal.err(`${pluralize(findings.length, 'finding')}, no configuration`);
  return EXIT.failed;
}

/**
 * Generates a configuration folder. Writes no part of the configuration when the
 * questionnaire has findings.
 */
export async function init(
  options: InitOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const {out, answers, force = false} = options;
  if (existsSync(join(out, MANIFEST_FILE)) && !force) {
    terminal.err(
      `${out} already has a configuration; --force replaces its manifest; the new one needs a higher revision`,
    );
    return EXIT.usage;
  }
  const source = await obtainAnswers(options, terminal);
  if (source.isErr()) return source.error;
  const {file, text} = source.value;
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
  const published = generateConfiguration(questionnaire.value);
  const assembled = assembleConfiguration(published.manifest, published.values);
  if (assembled.isErr()) return printFindings(assembled.error, terminal);
  const written = await writeConfiguration(out, published);
  if (written.isErr()) {
    terminal.err(`${out}: ${written.error.message}`);
    return EXIT.unreachable;
  }
  const {adapters, revision} = assembled.value;
  terminal.out(
    `configuration of revision ${revision} with ${pluralize(adapters.size, 'adapter')} in ${pluralize(published.values.size, 'value')} written to ${out}`,
  );
  return EXIT.ok;
}
