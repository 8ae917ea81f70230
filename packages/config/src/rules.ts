/** Checks across values that the configuration and the questionnaire share. */
import type {Fault, PathSegment} from './finding.js';
import {
  duplicateFaults,
  items,
  read,
  texts,
  textsAt,
  unknownFaults,
} from './loose.js';

/** Base models that the model services run. */
export function baseModelsOf(services: unknown): ReadonlySet<string> {
  return new Set(textsAt(services, 'baseModel').filter(model => model !== ''));
}

/** Faults of services: repeated names of services and of their operations. */
export function serviceFaults(services: unknown): readonly Fault[] {
  return [
    ...duplicateFaults(services, ['services'], 'name'),
    ...items(services).flatMap((service, index) =>
      duplicateFaults(
        read(service).operations,
        ['services', index, 'operations'],
        'name',
      ),
    ),
  ];
}

/** Faults of callers against the services, and against the groups if known. */
export function callerFaults(
  callers: unknown,
  services: unknown,
  groups?: ReadonlySet<string>,
): readonly Fault[] {
  const known = new Set(textsAt(services, 'name'));
  const models = new Set(
    items(services)
      .map(read)
      .filter(({kind}) => kind === 'model')
      .map(({name}) => name),
  );
  return [
    ...duplicateFaults(callers, ['callers'], 'name'),
    ...duplicateFaults(callers, ['callers'], 'keySha256'),
    ...items(callers).flatMap((member, index) => {
      const path = ['callers', index];
      const caller = read(member);
      return [
        ...duplicateFaults(caller.groups, [...path, 'groups']),
        ...duplicateFaults(caller.services, [...path, 'services']),
        ...unknownFaults(
          caller.services,
          [...path, 'services'],
          known,
          'service',
        ),
        ...modelServiceFaults(caller.services, [...path, 'services'], models),
        ...(groups
          ? unknownFaults(caller.groups, [...path, 'groups'], groups, 'group')
          : []),
      ];
    }),
  ];
}

/** Chats are permitted by adapter group, so a model service is no permission. */
function modelServiceFaults(
  wanted: unknown,
  path: readonly PathSegment[],
  models: ReadonlySet<unknown>,
): readonly Fault[] {
  return items(wanted).flatMap((name, index) =>
    models.has(name)
      ? [
          {
            path: [...path, index],
            message: `"${String(name)}" is a model service; permit groups instead`,
          },
        ]
      : [],
  );
}

/** Faults of one adapter, or of a pattern of adapters. */
export function adapterFaults(
  value: unknown,
  path: readonly PathSegment[],
  baseModels?: ReadonlySet<string>,
): readonly Fault[] {
  const {versions, current, baseModel} = read(value);
  const faults: Fault[] = [...duplicateFaults(versions, [...path, 'versions'])];
  if (typeof current === 'string' && !texts(versions).includes(current)) {
    const message = `current version "${current}" is not in versions`;
    faults.push({path: [...path, 'current'], message});
  }
  if (typeof baseModel === 'string' && baseModels?.has(baseModel) === false) {
    const message = `no model service runs base model "${baseModel}"`;
    faults.push({path: [...path, 'baseModel'], message});
  }
  return faults;
}
