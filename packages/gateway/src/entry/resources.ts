/** What the forwardings of an entry have in common. */
import type {DeadlineProfile} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';
import type {AnswerMemory} from './answermemory.js';
import type {RetryBudgets} from './budgets.js';
import type {EntryOrigins} from './entryorigins.js';
import type {PlannedStop} from './plannedstop.js';
import type {ForwardProtocol} from './protocol.js';
import type {EntrySecondAttempts} from './secondattempts.js';
import type {LeaseQuestions} from './leasequestions.js';
import type {PlainRoom} from './plainroom/plainroom.js';
import type {Targets} from './targets.js';

/** Components of the entry that all its requests share. */
export interface ForwardingResources {
  readonly context: GatewayContext;
  readonly protocol: ForwardProtocol;
  readonly targets: Targets;
  /** Questions of the entry's requests for leases. */
  readonly questions: LeaseQuestions;
  readonly origins: EntryOrigins;
  readonly budgets: RetryBudgets;
  readonly secondAttempts: EntrySecondAttempts;
  readonly memory: AnswerMemory;
  readonly plannedStop: PlannedStop;
  /** Undefined where each request for a plain service is sent. */
  readonly plainRoom?: PlainRoom;
  /** Deadlines that callers typically state, by route name. */
  readonly deadlineProfiles: Map<string, DeadlineProfile>;
}
