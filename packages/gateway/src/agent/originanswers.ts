/**
 * What a target node knows of the origins of streams: from the leases on its engine, and from
 * entries that tell it of streams at other servers. It outlives the sessions of the entries.
 */
import {
  ORIGIN_STAGE,
  StreamOrigins,
  streamWindowMs,
  type StreamOrigin,
} from '@balsamnotch/core';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {
  HoldRequest,
  ServiceVersions,
  StreamAnswerSchema,
  StreamQuestion,
} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';

/** Largest accepted length of the key of a stream. */
const MAX_KEY_CHARS = 64;

/** Largest accepted length of a name of a service and of a version; see the store's names. */
const MAX_NAME_CHARS = 200;

/** Maximum number of services of which versions are remembered. */
const MAX_SERVICES = 1_000;

/** An answer as it is sent. */
export type StreamAnswerFields = MessageInitShape<typeof StreamAnswerSchema>;

/** Fields of a message of an entry that concern origins. */
export type OriginMessage = Pick<
  HoldRequest,
  'entry' | 'begunStreams' | 'askedStreams' | 'serviceVersions'
>;

/** A lease on a stream. */
export interface StreamLease {
  /**
   * Records how the lease ended, or that it was refused. A stream without an event is forgotten
   * unless another lease holds it.
   */
  readonly end: (hasEvent: boolean) => void;
}

/** The origins that a target node knows. */
export interface OriginAnswers {
  /** Records that the server of a version is to run a stream; an empty key names none. */
  readonly lease: (stream: string, softwareVersion: string) => StreamLease;
  /** Records what a message tells; returns the answers to its questions. */
  readonly handleMessage: (
    message: OriginMessage,
  ) => readonly StreamAnswerFields[];
  /** Returns the number of records held. */
  readonly size: () => number;
}

/** Options of {@link createOriginAnswers}. */
export interface OriginAnswersOptions {
  readonly context: Pick<
    GatewayContext,
    'clock' | 'log' | 'metrics' | 'directory' | 'pauses'
  >;
  /** Limit of the records held; see {@link StreamOrigins}. */
  readonly maxRecords?: number;
}

/** Versions of a service as an entry stated them. */
interface StatedVersions {
  readonly stated: ServiceVersions;
  /** Monotonic time of the end of the window that they cover, in milliseconds. */
  readonly asOfMs: number;
}

function isKey(stream: string): boolean {
  return stream.length > 0 && stream.length <= MAX_KEY_CHARS;
}

function isName(text: string): boolean {
  return text.length <= MAX_NAME_CHARS;
}

/** Creates the records of a node that knows no stream yet. */
export function createOriginAnswers({
  context,
  maxRecords,
}: OriginAnswersOptions): OriginAnswers {
  const {clock, log, metrics, directory, pauses} = context;
  const windowMs = () => streamWindowMs(directory.current().table);
  const origins = new StreamOrigins({maxAgeMs: windowMs, maxRecords});
  /** By service. */
  const versions = new Map<string, StatedVersions>();

  const recordBegun = (stream: string, softwareVersion: string) => {
    const nowMs = clock.monotonicMs();
    const known = origins.find(stream, nowMs);
    const isOther =
      known?.stage === ORIGIN_STAGE.begun &&
      known.softwareVersion !== softwareVersion;
    if (isOther) {
      metrics.count('origin_conflict');
      log.warn('origin_conflict', {
        stream,
        version: known.softwareVersion,
        other_version: softwareVersion,
      });
    }
    origins.recordBegun(stream, softwareVersion, nowMs);
  };
  const recordVersions = (stated: ServiceVersions) => {
    const asOfMs = clock.monotonicMs() - stated.ageMs;
    const known = versions.get(stated.service);
    if (known !== undefined && known.asOfMs > asOfMs) return;
    versions.delete(stated.service);
    versions.set(stated.service, {stated, asOfMs});
    if (versions.size <= MAX_SERVICES) return;
    const [oldest] = versions.keys();
    if (oldest !== undefined) versions.delete(oldest);
  };
  const versionFields = (service: string): StreamAnswerFields => {
    const known = versions.get(service);
    if (known === undefined) return {};
    const ageMs = clock.monotonicMs() - known.asOfMs;
    if (ageMs > windowMs()) return {};
    const {hasSeveral, onlyVersion} = known.stated;
    return {
      hasSeveral,
      hasOnly: !hasSeveral,
      onlyVersion,
      versionsAgeMs: Math.ceil(ageMs),
      versionsWindowMs: known.stated.windowMs,
    };
  };
  const logQuestion = (
    entry: string,
    stream: string,
    origin: StreamOrigin | undefined,
  ) => {
    const isKnown = origin !== undefined;
    metrics.count('origin_asked', origin?.stage ?? 'unknown');
    log.info('origin_asked', {
      entry,
      stream,
      known: isKnown,
      ...(isKnown && {
        stage: origin.stage,
        version: origin.softwareVersion,
        age_ms: Math.round(clock.monotonicMs() - origin.atMs),
      }),
    });
  };
  const answer = (
    entry: string,
    {stream, service}: StreamQuestion,
  ): StreamAnswerFields => {
    const origin = origins.find(stream, clock.monotonicMs());
    logQuestion(entry, stream, origin);
    return {
      ...versionFields(service),
      stream,
      hasOrigin: origin !== undefined,
      softwareVersion: origin?.softwareVersion ?? '',
      hasBegun: origin?.stage === ORIGIN_STAGE.begun,
    };
  };
  /** Returns the items of a message that have the right form, and reports the others. */
  const valid = <T>(
    entry: string,
    field: string,
    items: readonly T[],
    isValid: (item: T) => boolean,
  ): readonly T[] => {
    const accepted = items.filter(isValid);
    const count = items.length - accepted.length;
    if (count > 0) {
      metrics.count('origin_message_invalid', field);
      log.warn('origin_message_invalid', {entry, field, count});
    }
    return accepted;
  };
  return {
    lease: (stream, softwareVersion) => {
      if (!isKey(stream) || !isName(softwareVersion)) {
        return {end: () => undefined};
      }
      origins.recordGranted(stream, softwareVersion, clock.monotonicMs());
      let isHeld = true;
      return {
        end: hasEvent => {
          if (hasEvent) recordBegun(stream, softwareVersion);
          else if (isHeld) origins.forgetGranted(stream, softwareVersion);
          isHeld = false;
        },
      };
    },
    handleMessage: ({entry, begunStreams, askedStreams, serviceVersions}) => {
      // Statements that waited during a pause of this process are older than they say.
      if (serviceVersions.length > 0 && pauses.pauseMs() === 0) {
        valid(
          entry,
          'service_versions',
          serviceVersions,
          ({service, onlyVersion}) => isName(service) && isName(onlyVersion),
        ).forEach(recordVersions);
      }
      valid(
        entry,
        'begun_streams',
        begunStreams,
        ({stream, softwareVersion}) => isKey(stream) && isName(softwareVersion),
      ).forEach(({stream, softwareVersion}) =>
        recordBegun(stream, softwareVersion),
      );
      return valid(
        entry,
        'asked_streams',
        askedStreams,
        ({stream, service}) => isKey(stream) && isName(service),
      ).map(question => answer(entry, question));
    },
    size: () => origins.size,
  };
}
