/** Checks across several values, shared by the configuration and the questionnaire. */
import type {Fault, PathSegment} from './finding.js';
import {
  duplicateFaults,
  asList,
  asRecord,
  stringItems,
  stringsAtKey,
  unknownNameFaults,
} from './loose.js';

/** Returns the base models that the model services run. */
export function baseModelsOf(services: unknown): ReadonlySet<string> {
  return new Set(
    stringsAtKey(services, 'baseModel').filter(model => model !== ''),
  );
}

/** Checks that names of services, and of operations in a service, are unique. */
export function serviceFaults(services: unknown): readonly Fault[] {
  return [
    ...duplicateFaults(services, ['services'], 'name'),
    ...asList(services).flatMap((service, index) =>
      duplicateFaults(
        asRecord(service).operations,
        ['services', index, 'operations'],
        'name',
      ),
    ),
  ];
}

/**
 * Checks that callers are unique and refer only to existing services and groups.
 * Groups are not checked when `groups` is undefined.
 */
export function callerFaults(
  callers: unknown,
  services: unknown,
  groups?: ReadonlySet<string>,
): readonly Fault[] {
  const serviceNames = new Set(stringsAtKey(services, 'name'));
  const modelServiceNames = new Set(
    asList(services)
      .map(asRecord)
      .filter(({kind}) => kind === 'model')
      .map(({name}) => name),
  );
  return [
    ...duplicateFaults(callers, ['callers'], 'name'),
    ...duplicateFaults(callers, ['callers'], 'keySha256'),
    ...asList(callers).flatMap((member, index) => {
      const path = ['callers', index];
      const caller = asRecord(member);
      return [
        ...duplicateFaults(caller.groups, [...path, 'groups']),
        ...duplicateFaults(caller.services, [...path, 'services']),
        ...unknownNameFaults(
          caller.services,
          [...path, 'services'],
          serviceNames,
          'service',
        ),
        ...modelServicePermissionFaults(
          caller.services,
          [...path, 'services'],
          modelServiceNames,
        ),
        ...(groups
          ? unknownNameFaults(
              caller.groups,
              [...path, 'groups'],
              groups,
              'group',
            )
          : []),
      ];
    }),
  ];
}

/** Rejects model services as permissions: adapter groups permit chats instead. */
function modelServicePermissionFaults(
  permittedServices: unknown,
  path: readonly PathSegment[],
  modelServiceNames: ReadonlySet<unknown>,
): readonly Fault[] {
  return asList(permittedServices).flatMap((name, index) =>
    modelServiceNames.has(name)
      ? [
          {
            path: [...path, index],
            message: `"${String(name)}" is a model service; permit groups instead`,
          },
        ]
      : [],
  );
}

/**
 * Checks an adapter or adapter pattern. Checks its base model only if `baseModels` is
 * given.
 */
export function adapterFaults(
  value: unknown,
  path: readonly PathSegment[],
  baseModels?: ReadonlySet<string>,
): readonly Fault[] {
  const {versions, current, baseModel} = asRecord(value);
  const faults: Fault[] = [...duplicateFaults(versions, [...path, 'versions'])];
  if (typeof current === 'string' && !stringItems(versions).includes(current)) {
    const message = `current version "${current}" is not in versions`;
    faults.push({path: [...path, 'current'], message});
  }
  if (typeof baseModel === 'string' && baseModels?.has(baseModel) === false) {
    const message = `no model service runs base model "${baseModel}"`;
    faults.push({path: [...path, 'baseModel'], message});
  }
  return faults;
}
