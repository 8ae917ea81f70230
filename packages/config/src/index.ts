/** Settings, configurations and questionnaires, parsed from JSON with comments. */
export {
  assembleConfiguration,
  assembleConfigurationFolder,
} from './assemble.js';
export * from './configuration.js';
export {diffSummary} from './diff.js';
export {formatFinding, sortFindings, type Finding} from './finding.js';
export {PRIORITY_TOLERANCES, generateConfiguration} from './generate.js';
export {FILE_KIND, detectFileKind, type FileKind} from './kind.js';
export {
  BASE_VALUE,
  VALUE_MAX_BYTES,
  contentHash,
  publishedName,
  type PublishedConfiguration,
} from './published.js';
export {
  PRIORITY,
  type AdapterPattern,
  type CallerAnswer,
  type Priority,
  type Questionnaire,
  type SingleAdapter,
  type ToleranceAnswer,
} from './questionnaire.js';
export {parseQuestionnaire} from './questionnaire-parse.js';
export {isAddress, isName} from './schema.js';
export * from './settings.js';
export {DEFAULT_LIMITS, parseSettings} from './settings-parse.js';
