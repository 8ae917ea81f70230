/** The targets at which the stream of one request may go on. */
import {
  mayServeStream,
  streamVersions,
  type RegisteredTarget,
  type StreamVersions,
} from '@balsamnotch/core';
import type {Targets} from './targets.js';

/** Restricts the targets of a stream to the software version that began it. */
export class StreamContinuation {
  private takenUpVersion: string | undefined;
  private beginner: RegisteredTarget | undefined;
  /** Whether the target of the current lease has sent an event of the stream. */
  hasEvents = false;

  constructor(private readonly targets: Targets) {}

  /** Records that a target of this software version began the stream in an earlier answer. */
  recordTakenUp(softwareVersion: string): void {
    this.takenUpVersion = softwareVersion;
  }

  /** Records which target began this answer, as it was listed when the request was sent to it. */
  recordBegin(beginner: RegisteredTarget): void {
    this.beginner ??= beginner;
  }

  /** Software versions that may serve the request now. */
  versions(): StreamVersions {
    const {takenUpVersion, beginner} = this;
    return streamVersions({
      ...(takenUpVersion === undefined ? {} : {takenUpVersion}),
      ...(beginner && {
        beginner: {
          softwareVersion: beginner.softwareVersion,
          listedVersion: this.listed(beginner)?.softwareVersion,
        },
      }),
    });
  }

  /** Returns whether a target may serve the request, as it is listed now or was when last listed. */
  allows(target: RegisteredTarget): boolean {
    const {softwareVersion} = this.listed(target) ?? target;
    return mayServeStream(this.versions(), softwareVersion);
  }

  private listed({id}: RegisteredTarget): RegisteredTarget | undefined {
    return this.targets.get(id)?.listing.target;
  }
}
