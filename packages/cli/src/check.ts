/** `check`: all findings of settings files, questionnaires and configurations. */
import {basename, dirname, join} from 'node:path';
import {
  KIND,
  assembleFolder,
  detectKind,
  diffSummary,
  formatFinding,
  parseQuestionnaire,
  parseSettings,
  sortFindings,
  type Configuration,
  type Finding,
  type Kind,
} from '@balsamnotch/config';
import {Err, Ok, type Result} from 'ts-results-es';
import {EXIT, type ExitCode} from './exit.js';
import {MANIFEST_FILE, readPath, type PathContent} from './files.js';
import {plural, type Terminal} from './terminal.js';

/** Options of {@link check}. */
export interface CheckOptions {
  readonly paths: readonly string[];
  /** Kind of the files; told by their content when absent. */
  readonly kind?: Kind;
  /** Folder of the configuration that the checked one is compared with. */
  readonly against?: string;
}

type FolderContent = Extract<PathContent, {kind: 'folder'}>;

type FileContent = Extract<PathContent, {kind: 'file'}>;

/** The texts that were given, by kind. */
interface Inputs {
  readonly folders: FolderContent[];
  readonly settings: FileContent[];
  readonly questionnaires: FileContent[];
  readonly findings: Finding[];
}

function atStart(file: string, message: string): Finding {
  return {file, line: 1, column: 1, path: '', message};
}

/** Reads a path; a manifest stands for the folder around it. */
async function readInput(
  path: string,
  wanted: Kind | undefined,
  inputs: Inputs,
): Promise<void> {
  const content = await readPath(path);
  if (content.isErr()) {
    inputs.findings.push(atStart(path, content.error.message));
    return;
  }
  if (content.value.kind === 'folder') {
    inputs.folders.push(content.value);
    return;
  }
  const kind = wanted ?? detectKind(content.value.text);
  if (kind === KIND.settings) inputs.settings.push(content.value);
  else if (kind === KIND.questionnaire) {
    inputs.questionnaires.push(content.value);
  } else if (kind === KIND.manifest && basename(path) === MANIFEST_FILE) {
    await readInput(dirname(path), undefined, inputs);
  } else {
    const message =
      'neither settings nor a questionnaire nor a configuration; name the kind with --kind';
    inputs.findings.push(atStart(path, message));
  }
}

/** Configuration of a folder, with findings named by their path from here. */
function folderConfiguration({
  path,
  texts,
}: FolderContent): Result<Configuration, readonly Finding[]> {
  return assembleFolder(texts).mapErr(findings =>
    findings.map(finding => ({...finding, file: join(path, finding.file)})),
  );
}

/**
 * Settings of two processes must not share what tells them apart: targets are
 * ranked by name, and the ordinal gives the share of the weight store limit.
 */
function sharedIdentities(files: readonly FileContent[]): readonly Finding[] {
  const fileOf = new Map<string, string>();
  return files.flatMap(({path, text}) => {
    const settings = parseSettings(text, path);
    if (settings.isErr()) return [];
    const {name, role, service, ordinal} = settings.value;
    const identities = [
      `name "${name}"`,
      ...(role === 'target' ? [`ordinal ${ordinal} of "${service}"`] : []),
    ];
    return identities.flatMap(identity => {
      const earlier = fileOf.get(identity);
      fileOf.set(identity, earlier ?? path);
      return earlier === undefined
        ? []
        : [atStart(path, `duplicate ${identity}, also in ${earlier}`)];
    });
  });
}

/** Findings of all texts; settings are checked against the only configuration. */
function inputFindings(
  inputs: Inputs,
  configurations: readonly Result<Configuration, readonly Finding[]>[],
): readonly Finding[] {
  const [only] = configurations;
  const configuration =
    configurations.length === 1 && only?.isOk() ? only.value : undefined;
  const results: Result<unknown, readonly Finding[]>[] = [
    ...configurations,
    ...inputs.questionnaires.map(({path, text}) =>
      parseQuestionnaire(text, path),
    ),
    ...inputs.settings.map(({path, text}) =>
      parseSettings(text, path, configuration),
    ),
  ];
  return sortFindings([
    ...inputs.findings,
    ...results.flatMap(result => (result.isErr() ? result.error : [])),
    ...sharedIdentities(inputs.settings),
  ]);
}

async function configurationAt(
  folder: string,
): Promise<Result<Configuration, readonly Finding[]>> {
  const content = await readPath(folder);
  if (content.isErr()) return Err([atStart(folder, content.error.message)]);
  if (content.value.kind === 'folder') {
    return folderConfiguration(content.value);
  }
  return Err([atStart(folder, 'is not a configuration folder')]);
}

/** Changes between the configuration at `against` and the checked one. */
async function comparison(
  against: string,
  checked: readonly Result<Configuration, readonly Finding[]>[],
): Promise<Result<readonly string[], readonly Finding[]>> {
  const before = await configurationAt(against);
  if (before.isErr()) return before;
  const [after] = checked;
  if (checked.length !== 1 || after === undefined) {
    return Err([atStart(against, 'needs one configuration to compare with')]);
  }
  if (after.isErr()) return Ok([]);
  const lines = diffSummary(before.value, after.value);
  const {revision} = before.value;
  if (lines.length > 0 && after.value.revision <= revision) {
    const message = `revision must be above ${revision}: nodes never adopt a lower one, and refuse other content under the same one`;
    return Err([atStart(against, message)]);
  }
  return Ok(lines.length > 0 ? lines : ['nothing changes']);
}

/** Prints all findings of the paths together. */
export async function check(
  {paths, kind, against}: CheckOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const inputs: Inputs = {
    folders: [],
    settings: [],
    questionnaires: [],
    findings: [],
  };
  for (const path of paths) await readInput(path, kind, inputs);
  const configurations = inputs.folders.map(folderConfiguration);
  const changes =
    against === undefined ? Ok([]) : await comparison(against, configurations);
  const findings = [
    ...inputFindings(inputs, configurations),
    ...(changes.isErr() ? changes.error : []),
  ];
  findings.forEach(finding => terminal.out(formatFinding(finding)));
  if (findings.length > 0) {
    terminal.err(plural(findings.length, 'finding'));
    return EXIT.failed;
  }
  if (changes.isOk()) changes.value.forEach(line => terminal.out(line));
  terminal.out(`${plural(paths.length, 'path')} checked, no findings`);
  return EXIT.ok;
}
