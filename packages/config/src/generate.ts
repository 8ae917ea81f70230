/** Generates a configuration from a questionnaire. */
import type {Tolerances} from '@balsamnotch/core';
import type {Adapter, Caller} from './configuration.js';
import {
  BASE_VALUE,
  SHARD_MAX_ADAPTERS,
  VALUE_MAX_BYTES,
  contentHash,
  publishedName,
  shardName,
  type PublishedConfiguration,
} from './published.js';
import {
  adapterNames,
  type CallerAnswer,
  type Priority,
  type Questionnaire,
  type ToleranceAnswer,
} from './questionnaire.js';

/** Default tolerances of each priority. */
export const PRIORITY_TOLERANCES: Readonly<Record<Priority, Tolerances>> = {
  load_stalls: {stallWeight: 4, batchWaitMs: 0},
  balanced: {stallWeight: 2, batchWaitMs: 10},
  batch_efficiency: {stallWeight: 1, batchWaitMs: 2_000},
};

const SHARD_HEADER = '{\n  "adapters": [\n';
const SHARD_FOOTER = '\n  ]\n}\n';

function tolerancesOf(answer: ToleranceAnswer): Tolerances {
  const {stallWeight, batchWaitMs} = PRIORITY_TOLERANCES[answer.priority];
  return {
    stallWeight: answer.stallWeight ?? stallWeight,
    batchWaitMs: answer.batchWaitMs ?? batchWaitMs,
  };
}

function callerOf(answer: CallerAnswer): Caller {
  const {name, groups, services, requestsPerSecond} = answer;
  const keySha256 = answer.keySha256 ?? contentHash(answer.key ?? '');
  return {name, keySha256, groups, services, requestsPerSecond};
}

function adaptersOf(questionnaire: Questionnaire): readonly Adapter[] {
  const models = questionnaire.services.map(service => service.baseModel);
  const defaultModel = models.find(model => model !== '') ?? '';
  return questionnaire.adapters.flatMap(answer => {
    const {group, versions, baseModel = defaultModel} = answer;
    const current = answer.current ?? versions[versions.length - 1] ?? '';
    return adapterNames(answer).map(name => ({
      name,
      group,
      baseModel,
      versions,
      current,
    }));
  });
}

/** Returns the text of the base value, with its keys in a fixed order. */
export function baseText(questionnaire: Questionnaire): string {
  const {failureDomains, weightStore} = questionnaire;
  const {loadsPerSecond, burst, loadMs, maxInFlight} = weightStore;
  const base = {
    failureDomains,
    services: questionnaire.services.map(service => ({
      name: service.name,
      kind: service.kind,
      targets: service.targets,
      baseModel: service.baseModel,
      operations: service.operations.map(({name, repeatable}) => ({
        name,
        repeatable,
      })),
      queueLimit: service.queueLimit,
    })),
    callers: questionnaire.callers.map(callerOf),
    tolerances: tolerancesOf(questionnaire.tolerances),
    weightStore: {loadsPerSecond, burst, loadMs, maxInFlight},
  };
  return `${JSON.stringify(base, null, 2)}\n`;
}

/** Returns the texts of shards within the size limits, with one line per adapter. */
function shardTexts(adapters: readonly Adapter[]): readonly string[] {
  const shards: string[][] = [];
  let shardBytes = 0;
  for (const adapter of adapters) {
    const line = `    ${JSON.stringify(adapter)}`;
    // Names are ASCII, so each character is 1 byte; lines are separated by 2 bytes.
    const lineBytes = line.length + 2;
    const shard = shards[shards.length - 1];
    const isFull =
      shard === undefined ||
      shard.length >= SHARD_MAX_ADAPTERS ||
      shardBytes + lineBytes > VALUE_MAX_BYTES;
    if (isFull) {
      shards.push([line]);
      shardBytes = SHARD_HEADER.length + SHARD_FOOTER.length + lineBytes;
    } else {
      shard.push(line);
      shardBytes += lineBytes;
    }
  }
  return shards.map(lines => SHARD_HEADER + lines.join(',\n') + SHARD_FOOTER);
}

/**
 * Generates the configuration of a questionnaire. Equal answers result in
 * byte-identical texts, so generating again changes no hash.
 */
export function generateConfiguration(
  questionnaire: Questionnaire,
): PublishedConfiguration {
  const namedValues = [
    {name: BASE_VALUE, text: baseText(questionnaire)},
    ...shardTexts(adaptersOf(questionnaire)).map((text, index) => ({
      name: shardName(index),
      text,
    })),
  ].map(value => ({...value, sha256: contentHash(value.text)}));
  const manifest = {
    deployment: questionnaire.deployment,
    revision: questionnaire.revision,
    values: namedValues.map(({name, sha256}) => ({name, sha256})),
  };
  return {
    manifest: `${JSON.stringify(manifest, null, 2)}\n`,
    values: new Map(
      namedValues.map(({name, sha256, text}) => [
        publishedName(name, sha256),
        text,
      ]),
    ),
  };
}
