/** Where the stream of one request began, if its caller takes it up, or begins. */
import {
  ORIGIN_OUTCOME,
  REQUEST_KIND,
  type RegisteredTarget,
} from '@balsamnotch/core';
import type {AdmittedRequest} from './admittedrequest.js';
import type {StreamContinuation} from './continuation.js';
import type {EntryOrigins} from './entryorigins.js';
import type {RequestRecord} from './requestrecord.js';
import {streamKey} from './streamkey.js';

/** Reasons for which a stream that a caller takes up is refused. */
export const ORIGIN_REFUSAL = {
  /** Nobody knows at which software version it began. */
  unknown: 'origin_unknown',
  /** The records name several versions. */
  conflicting: 'origin_conflicting',
  /** The request does not name the one that began it. */
  notNamed: 'origin_not_named',
} as const;

/** One of the values of {@link ORIGIN_REFUSAL}. */
export type OriginRefusal =
  (typeof ORIGIN_REFUSAL)[keyof typeof ORIGIN_REFUSAL];

/** Largest part of the last event id that is logged. */
const MAX_LOGGED_ID_CHARS = 20;

/** Options of {@link RequestOrigin}. */
export interface RequestOriginOptions {
  readonly request: Pick<AdmittedRequest, 'caller' | 'route' | 'service'>;
  readonly origins: EntryOrigins;
  readonly record: Pick<RequestRecord, 'log' | 'elapsedMs'>;
}

/** The origin of one request's stream. */
export class RequestOrigin {
  /** Key of the stream; empty for a request that is none, or does not name it. */
  readonly stream: string;
  /** Whether the caller has events of the stream already. */
  private readonly isTakenUp: boolean;

  constructor(private readonly options: RequestOriginOptions) {
    const {caller, route, service} = options.request;
    const isStream = route.kind === REQUEST_KIND.streaming;
    this.isTakenUp = isStream && caller.lastEventId !== '';
    const beganAs = this.isTakenUp ? caller.resumes : caller.requestId;
    this.stream =
      isStream && beganAs !== ''
        ? streamKey(service.name, caller.account, beganAs)
        : '';
  }

  /**
   * Finds out at which software version the stream began if the caller takes it up, and restricts
   * the continuation to it. Resolves to the reason for which the request must be refused; undefined
   * if it may be sent.
   */
  async find(
    continuation: Pick<StreamContinuation, 'recordTakenUp'>,
  ): Promise<OriginRefusal | undefined> {
    if (!this.isTakenUp) return undefined;
    const {request, origins, record} = this.options;
    const startedMs = record.elapsedMs();
    const decision = await origins.find(this.stream, request.service.name);
    const isKnown = decision.outcome === ORIGIN_OUTCOME.known;
    record.log('taken_up', {
      stream: this.stream,
      after: request.caller.lastEventId.slice(0, MAX_LOGGED_ID_CHARS),
      outcome: decision.outcome,
      ...(isKnown && {
        stage: decision.stage,
        version: decision.softwareVersion,
      }),
      ms: Math.round(record.elapsedMs() - startedMs),
    });
    if (isKnown) {
      continuation.recordTakenUp(decision.softwareVersion);
      return undefined;
    }
    return this.stream === ''
      ? ORIGIN_REFUSAL.notNamed
      : ORIGIN_REFUSAL[decision.outcome];
  }

  /** Records that a target has sent the first event of this answer, before it is passed on. */
  recordBegin({id, softwareVersion}: RegisteredTarget): void {
    if (this.stream === '') return;
    const {request, origins} = this.options;
    const service = request.service.name;
    const begun = {stream: this.stream, service, softwareVersion, target: id};
    if (this.isTakenUp) origins.remember(begun);
    else origins.recordBegun(begun);
  }
}
