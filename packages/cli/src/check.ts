/** `check`: validates settings files, questionnaires and configuration folders. */
import {basename, dirname, join} from 'node:path';
import {
  FILE_KIND,
  assembleConfigurationFolder,
  detectFileKind,
  diffSummary,
  formatFinding,
  parseQuestionnaire,
  parseSettings,
  sortFindings,
  type Configuration,
  type Finding,
  type FileKind,
} from '@balsamnotch/config';
import {Err, Ok, type Result} from 'ts-results-es';
import {EXIT, type ExitCode} from './exit.js';
import {MANIFEST_FILE, readPath, type PathContent} from './files.js';
import {pluralize, type Terminal} from './terminal.js';

/** Options of {@link check}. */
export interface CheckOptions {
  readonly paths: readonly string[];
  /** Kind of the files; detected from their content when absent. */
  readonly kind?: FileKind;
  /** Folder of the configuration to compare the checked one with. */
  readonly against?: string;
}

type FolderContent = Extract<PathContent, {kind: 'folder'}>;

type FileContent = Extract<PathContent, {kind: 'file'}>;

/** Contents of the given paths, by kind, and findings about paths that cannot be read. */
interface CheckInputs {
  readonly folders: FolderContent[];
  readonly settings: FileContent[];
  readonly questionnaires: FileContent[];
  readonly findings: Finding[];
}

function fileFinding(file: string, message: string): Finding {
  return {file, line: 1, column: 1, path: '', message};
}

/** Reads a path into `inputs`; for a manifest, reads the folder that contains it. */
async function readCheckInput(
  path: string,
  kindOverride: FileKind | undefined,
  inputs: CheckInputs,
): Promise<void> {
  const content = await readPath(path);
  if (content.isErr()) {
    inputs.findings.push(fileFinding(path, content.error.message));
    return;
  }
  if (content.value.kind === 'folder') {
    inputs.folders.push(content.value);
    return;
  }
  const kind = kindOverride ?? detectFileKind(content.value.text);
  if (kind === FILE_KIND.settings) inputs.settings.push(content.value);
  else if (kind === FILE_KIND.questionnaire) {
    inputs.questionnaires.push(content.value);
  } else if (kind === FILE_KIND.manifest && basename(path) === MANIFEST_FILE) {
    await readCheckInput(dirname(path), undefined, inputs);
  } else {
    const message =
      'neither settings nor a questionnaire nor a configuration; name the kind with --kind';
    inputs.findings.push(fileFinding(path, message));
  }
}

/** Assembles a configuration folder; findings get paths that include the folder. */
function assembleConfiguration({
  path,
  texts,
}: FolderContent): Result<Configuration, readonly Finding[]> {
  return assembleConfigurationFolder(texts).mapErr(findings =>
    findings.map(finding => ({...finding, file: join(path, finding.file)})),
  );
}

/**
 * Reports settings files that share an identity. Names must be unique because
 * targets are ranked by name; ordinals must be unique within a service because
 * the ordinal selects a target's share of the weight store limit.
 */
function duplicateIdentities(
  files: readonly FileContent[],
): readonly Finding[] {
  const pathByIdentity = new Map<string, string>();
  return files.flatMap(({path, text}) => {
    const settings = parseSettings(text, path);
    if (settings.isErr()) return [];
    const {name, role, service, ordinal} = settings.value;
    const identities = [
      `name "${name}"`,
      ...(role === 'target' ? [`ordinal ${ordinal} of "${service}"`] : []),
    ];
    return identities.flatMap(identity => {
      const earlierPath = pathByIdentity.get(identity);
      pathByIdentity.set(identity, earlierPath ?? path);
      return earlierPath === undefined
        ? []
        : [fileFinding(path, `duplicate ${identity}, also in ${earlierPath}`)];
    });
  });
}

/**
 * Collects the findings of all inputs. Settings are also checked against the
 * configuration when the inputs contain exactly one valid configuration.
 */
function collectFindings(
  inputs: CheckInputs,
  configurations: readonly Result<Configuration, readonly Finding[]>[],
): readonly Finding[] {
  const [firstResult] = configurations;
  const configuration =
    configurations.length === 1 && firstResult?.isOk()
      ? firstResult.value
      : undefined;
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
    ...duplicateIdentities(inputs.settings),
  ]);
}

async function readConfiguration(
  folder: string,
): Promise<Result<Configuration, readonly Finding[]>> {
  const content = await readPath(folder);
  if (content.isErr()) return Err([fileFinding(folder, content.error.message)]);
  if (content.value.kind === 'folder') {
    return assembleConfiguration(content.value);
  }
  return Err([fileFinding(folder, 'is not a configuration folder')]);
}

/** Describes the changes from the configuration in `baselineFolder` to the checked one. */
async function compareConfigurations(
  baselineFolder: string,
  configurations: readonly Result<Configuration, readonly Finding[]>[],
): Promise<Result<readonly string[], readonly Finding[]>> {
  const baseline = await readConfiguration(baselineFolder);
  if (baseline.isErr()) return baseline;
  const [checked] = configurations;
  if (configurations.length !== 1 || checked === undefined) {
    return Err([
      fileFinding(baselineFolder, 'needs one configuration to compare with'),
    ]);
  }
  if (checked.isErr()) return Ok([]);
  const lines = diffSummary(baseline.value, checked.value);
  const {revision} = baseline.value;
  if (lines.length > 0 && checked.value.revision <= revision) {
    const message = `revision must be above ${revision}: nodes never adopt a lower one, and refuse other content under the same one`;
    return Err([fileFinding(baselineFolder, message)]);
  }
  return Ok(lines.length > 0 ? lines : ['nothing changes']);
}

/** Checks all paths and prints their findings, or the changes when there are none. */
export async function check(
  {paths, kind, against}: CheckOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const inputs: CheckInputs = {
    folders: [],
    settings: [],
    questionnaires: [],
    findings: [],
  };
  for (const path of paths) await readCheckInput(path, kind, inputs);
  const configurations = inputs.folders.map(assembleConfiguration);
  const changes =
    against === undefined
      ? Ok([])
      : await compareConfigurations(against, configurations);
  const findings = [
    ...collectFindings(inputs, configurations),
    ...(changes.isErr() ? changes.error : []),
  ];
  findings.forEach(finding => terminal.out(formatFinding(finding)));
  if (findings.length > 0) {
    terminal.err(pluralize(findings.length, 'finding'));
    return EXIT.failed;
  }
  if (changes.isOk()) changes.value.forEach(line => terminal.out(line));
  terminal.out(`${pluralize(paths.length, 'path')} checked, no findings`);
  return EXIT.ok;
}
