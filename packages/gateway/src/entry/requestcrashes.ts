/** What crashes of targets mean for one request, and the other way round. */
import {createHash} from 'node:crypto';
import {ATTEMPT_END, requestPart, sharedPartsOf} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';
import type {Quarantine} from '../node/crashevidence.js';
import type {AdmittedRequest} from './admittedrequest.js';
import type {AttemptResult} from './attempt.js';
import {mayRepeatAfter} from './repeats.js';
import {endedRequest, mayHaveCrashed, type EndedRequest} from './requestend.js';
import type {TargetState, Targets} from './targets.js';

/** Length of the digests of requests, in bytes. */
const DIGEST_BYTES = 16;

/**
 * Returns the id of a request, which is the same whenever it comes again: that of its client
 * account, method, path with query, and body.
 */
export function requestId({
  caller,
  method,
  path,
  body,
}: Pick<AdmittedRequest, 'caller' | 'method' | 'path' | 'body'>): string {
  const hash = createHash('sha256');
  for (const field of [...caller.account, method, path]) {
    // The length keeps two lists of fields apart whose texts are the same when joined.
    hash.update(`${Buffer.byteLength(field)}:`).update(field);
  }
  const digest = hash.update(body).digest().subarray(0, DIGEST_BYTES);
  return requestPart(digest.toString('base64url'));
}

/** Options of {@link RequestCrashes}. */
export interface RequestCrashesOptions {
  readonly context: Pick<GatewayContext, 'evidence'>;
  readonly targets: Pick<Targets, 'linkOf' | 'crashes'>;
  readonly request: AdmittedRequest;
}

/** One request in relation to crashes. */
export class RequestCrashes {
  /** Parts of the prompt that other requests share; all but the last. */
  readonly sharedParts: readonly string[];
  private id: string | undefined;

  constructor(private readonly options: RequestCrashesOptions) {
    this.sharedParts = sharedPartsOf(options.request.caller.promptParts);
  }

  /** Id of the request. It is computed on first use, since a body may be long. */
  private readonly requestId = (): string => {
    this.id ??= requestId(this.options.request);
    return this.id;
  };

  /** Returns the quarantine of the request or of a part of its prompt; undefined for none. */
  quarantine(): Quarantine | undefined {
    const {evidence} = this.options.context;
    const ofPart = evidence.quarantineOf(this.sharedParts);
    if (ofPart !== undefined || !evidence.tracksRequests()) return ofPart;
    return evidence.quarantineOf([this.requestId()]);
  }

  /** Records that the request is sent to a target. */
  recordSend(): void {
    const {evidence} = this.options.context;
    if (evidence.tracksRequests()) evidence.countSend(this.requestId());
  }

  /** Returns how the request ended, for the target node. */
  endedRequest(result: AttemptResult): EndedRequest {
    return endedRequest(result, this.requestId);
  }

  /** Records how an attempt ended, as evidence on crashes of its target. */
  recordEnd(target: TargetState, result: AttemptResult): void {
    const {context, targets} = this.options;
    const {end, answer, isConnectionLost} = result;
    const isAnswered =
      end === ATTEMPT_END.answered || end === ATTEMPT_END.failed;
    // A crash may have ended an answer without a length.
    if (isAnswered && !isConnectionLost && answer?.isFramed === true) {
      if (context.evidence.tracksRequests()) {
        context.evidence.recordAnswer(this.requestId());
      }
      return;
    }
    // Target nodes record the crashes of their engines.
    if (!mayHaveCrashed(result) || targets.linkOf(target)) return;
    targets.crashes.recordBreak(target.listing.target, this.requestId());
  }

  /** Resolves to whether the request may be sent to another target after the attempt. */
  mayRepeatAfter(
    target: TargetState,
    {end, brokenRequest}: EndedRequest,
  ): Promise<boolean> {
    return mayRepeatAfter(this.options.context.evidence, {
      sharedParts: this.sharedParts,
      brokenRequest,
      end,
      incarnationMs: target.listing.target.incarnationMs,
    });
  }
}
