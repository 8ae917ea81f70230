import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  CALL_STATE,
  CallTable,
  OUTCOME,
  PHASE,
  SEND_STATE,
  TICKET_LIFETIME_MS,
  WORK,
  addAnswer,
  beginAttempts,
  checkTicket,
  decodeTicket,
  encodeTicket,
  addLoss,
  nextStep,
  outcomeOf,
  refusal,
  addRefusal,
  addSend,
  addSettlement,
  addIssuedTicket,
  type Attempts,
  type CallAnswer,
  type CallEnd,
  type Outcome,
  type Phase,
  type Refusal,
} from '@balsamnotch/core';

const SEED = Number(process.env['BALSAMNOTCH_SEED'] ?? 1);
const TARGETS = ['a', 'b', 'c', 'd'];
const SERVICE = 'booking';
const CALLER = 'app';

/**
 * Process of a target node. A restart replaces it, and messages sent to the old process are
 * lost.
 */
interface Process {
  readonly target: string;
  readonly incarnation: string;
  readonly startedMs: number;
  readonly table: CallTable;
  isPaused: boolean;
  isAlive: boolean;
}

/** Reply of a process to a call or a settlement. */
type Reply =
  | {readonly kind: 'answer'; readonly answer: CallAnswer}
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  | {
      readonly kind: 'settled';
      readonly outcome: Outcome;
      readonly running: boolean;
    };

/** A message in transit to one process, or its reply in transit to the entry. */
interface Message {
  readonly request: Request;
  readonly process: Process;
  readonly kind: 'call' | 'settle';
  readonly ticket: string;
  /** Sequence number of the send or settlement within its request. */
  readonly seq: number;
  reply?: Reply;
}

/** A request at one entry, and the result reported to its caller. */
interface Request {
  attempts: Attempts;
  phase: Phase;
  seq: number;
  isWaiting: boolean;
  readonly tickets: Set<string>;
  result?: Refusal | 'reply';
  answer?: CallAnswer;
}

/** A call that the service has not completed yet. */
interface ServiceCall {
  readonly process: Process;
  readonly ticket: string;
}

/** Simulated entries and processes, and a service that counts the effects of calls. */
class World {
  nowMs = 0;
  readonly effects = new Map<string, number>();
  readonly requests: Request[] = [];
  messages: Message[] = [];
  calls: ServiceCall[] = [];
  private serial = 0;
  readonly processes = new Map(
    TARGETS.map(target => [target, this.start(target)]),
  );
  /** Process of each target from which the entries last received a reply. */
  private readonly lastSeen = new Map(this.processes);

  private start(target: string): Process {
    const incarnation = `${target}${this.serial++}`;
    const table = new CallTable({capacity: 8});
    const startedMs = this.nowMs;
    return {
      target,
      incarnation,
      startedMs,
      table,
      isPaused: false,
      isAlive: true,
    };
  }

  /** Reads the monotonic clock of a process, which starts at 1,000 ms in each new process. */
  clock({startedMs}: Process): number {
    return 1_000 + this.nowMs - startedMs;
  }

  restart(target: string): void {
    this.processes.get(target)!.isAlive = false;
    this.processes.set(target, this.start(target));
  }

  request(text?: string): void {
    const ticket = text && decodeTicket(text).unwrap();
    const requestTicket = ticket && {...ticket, text, issuedHere: false};
    this.requests.push({
      attempts: beginAttempts(WORK.ticketed, requestTicket || undefined),
      phase: PHASE.open,
      seq: 0,
      isWaiting: false,
      tickets: new Set(text ? [text] : []),
    });
  }

  /** Executes the next step of a request, unless it has ended or waits for a reply. */
  step(request: Request, offset: number): void {
    if (request.result !== undefined || request.isWaiting) return;
    const step = nextStep(request.attempts, {
      phase: request.phase,
      candidates: TARGETS.map((_, i) => TARGETS[(i + offset) % 4]),
      mayRetry: true,
    });
    switch (step.kind) {
      case 'reply':
        request.result = 'reply';
        return;
      case 'refuse':
        request.result = step.refusal;
        return;
      case 'issue':
        return this.issue(request, step.target);
      case 'settle':
        return this.send(request, 'settle', step.ticket.target);
      case 'send':
      case 'reattach':
        request.attempts = addSend(request.attempts, step.target);
        return this.send(request, 'call', step.target);
    }
  }

  private issue(request: Request, target: string): void {
    const lastSeen = this.lastSeen.get(target)!;
    const {incarnation} = lastSeen;
    const text = encodeTicket({
      service: SERVICE,
      target,
      incarnation,
      nonce: String(this.serial++),
      caller: CALLER,
      issuedNodeClockMs: this.clock(lastSeen),
    });
    request.tickets.add(text);
    request.attempts = addIssuedTicket(request.attempts, {
      text,
      target,
      incarnation,
    });
  }

  private send(request: Request, kind: Message['kind'], target: string): void {
    const process = this.processes.get(target)!;
    const ticket = request.attempts.ticket!.text;
    request.isWaiting = true;
    const seq = ++request.seq;
    this.messages.push({request, process, kind, ticket, seq});
  }

  /** Makes the entry stop waiting for an answer to its last message. */
  timeOut(request: Request): void {
    if (!request.isWaiting) return;
    request.isWaiting = false;
    request.seq++;
    const isSendOpen = request.attempts.sends.at(-1)?.state === SEND_STATE.open;
    if (isSendOpen) request.attempts = addLoss(request.attempts, 'silent');
    else if (request.phase === PHASE.closing) request.phase = PHASE.over;
  }

  /**
   * Delivers a message to its process, or a reply to the entry. With `keep` set, the message also
   * stays in transit and can be delivered again.
   */
  deliver(message: Message, keep: boolean): void {
    const {process} = message;
    if (process.isPaused) return;
    if (!keep) this.messages = this.messages.filter(other => other !== message);
    if (message.reply !== undefined) return this.receiveReply(message);
    if (!process.isAlive) return;
    const reply =
      message.kind === 'call' ? this.call(message) : this.settle(message);
    if (reply !== undefined) this.messages.push({...message, reply});
  }

  private check(process: Process, ticket: string) {
    return checkTicket(decodeTicket(ticket).unwrap(), {
      service: SERVICE,
      incarnation: process.incarnation,
      caller: CALLER,
      nodeClockMs: this.clock(process),
    });
  }

  private call({process, ticket}: Message): Reply | undefined {
    const nowMs = this.clock(process);
    const result = this.check(process, ticket);
    if (result.isErr()) return {kind: 'refusal', refusal: result.error};
    const existing = process.table.get(ticket);
    const accepted = process.table.accept({ticket, digest: 'd'}, nowMs);
    if (accepted.isErr()) return {kind: 'refusal', refusal: accepted.error};
    if (existing !== undefined) return this.replyFromRecord(process, ticket);
    return undefined;
  }

  /** Returns the reply for a ticket with a final record, or undefined without one. */
  private replyFromRecord({table}: Process, ticket: string): Reply | undefined {
    const record = table.get(ticket);
    switch (record?.state) {
      case CALL_STATE.finished:
        return {kind: 'answer', answer: record.answer!};
      case CALL_STATE.cancelled:
        return {kind: 'refusal', refusal: refusal('cancelled', 'never starts')};
      case CALL_STATE.unknown:
        return {
          kind: 'refusal',
          refusal: refusal('outcome_unknown', 'no answer', {
            outcome: OUTCOME.unknown,
          }),
        };
      case CALL_STATE.queued:
      case CALL_STATE.running:
      case undefined:
        return undefined;
    }
  }

  private settle({process, ticket}: Message): Reply {
    const nowMs = this.clock(process);
    const isInvalid = this.check(process, ticket).isErr();
    const record = isInvalid ? undefined : process.table.cancel(ticket, nowMs);
    if (record === undefined) {
      return {kind: 'settled', outcome: OUTCOME.unknown, running: false};
    }
    if (record.state === CALL_STATE.finished) {
      return {kind: 'answer', answer: record.answer!};
    }
    const running = record.state === CALL_STATE.running;
    return {kind: 'settled', outcome: outcomeOf(record), running};
  }

  private receiveReply({request, reply, seq, process}: Message): void {
    this.lastSeen.set(process.target, process);
    if (seq !== request.seq || reply === undefined) return;
    request.isWaiting = false;
    switch (reply.kind) {
      case 'answer':
        request.answer = reply.answer;
        request.attempts = addAnswer(request.attempts);
        return;
      case 'refusal':
        request.attempts = addRefusal(request.attempts, reply.refusal);
        return;
      case 'settled':
        request.attempts = addSettlement(request.attempts, reply);
        if (request.phase === PHASE.closing) request.phase = PHASE.over;
    }
  }

  /** Sends all queued calls of a process to the service. */
  startCalls(process: Process): void {
    if (!process.isAlive || process.isPaused) return;
    const tickets = this.requests.flatMap(request => [...request.tickets]);
    for (const ticket of tickets) {
      if (process.table.start(ticket, this.clock(process)) !== undefined) {
        this.calls.push({process, ticket});
      }
    }
  }

  /** Makes the service execute or refuse a call. Its answer may be lost. */
  execute(
    call: ServiceCall,
    serviceOutcome: 'answers' | 'answer_lost' | 'refuses',
  ): void {
    this.calls = this.calls.filter(other => other !== call);
    const {process, ticket} = call;
    if (serviceOutcome !== 'refuses') {
      this.effects.set(ticket, (this.effects.get(ticket) ?? 0) + 1);
    }
    if (!process.isAlive) return;
    const body = new TextEncoder().encode(ticket);
    const answer = {status: 200, contentType: 'text/plain', body};
    const callEnds: Record<typeof serviceOutcome, CallEnd> = {
      answers: {kind: 'answered', answer},
      answer_lost: {kind: 'lost'},
      refuses: {kind: 'not_sent'},
    };
    const record = process.table.end(
      ticket,
      callEnds[serviceOutcome],
      this.clock(process),
    );
    if (record === undefined) return;
    for (const request of this.requests) {
      const ticketText = request.attempts.ticket?.text;
      if (!request.isWaiting || ticketText !== ticket) continue;
      const reply = this.replyFromRecord(process, ticket);
      const {seq} = request;
      if (reply === undefined || reply.kind === 'settled') continue;
      this.messages.push({
        request,
        process,
        kind: 'call',
        ticket,
        seq,
        reply,
      });
    }
  }

  /** Compares the results reported to callers with the effects at the service. */
  checkAll(): void {
    for (const [ticket, effects] of this.effects) {
      assert.ok(effects <= 1, `${ticket} took effect ${effects} times`);
    }
    this.requests.forEach((request, i) => {
      const later = this.requests.slice(i + 1);
      // A later request with the same ticket may run the call although this one did not.
      const isRepeated = later.some(({tickets}) =>
        [...tickets].some(ticket => request.tickets.has(ticket)),
      );
      this.checkResult(request, isRepeated);
    });
  }

  private checkResult(
    {result, tickets, answer}: Request,
    isRepeated: boolean,
  ): void {
    const effects = [...tickets].map(ticket => this.effects.get(ticket) ?? 0);
    const total = effects.reduce((sum, count) => sum + count, 0);
    assert.ok(total <= 1, 'one request took effect under two tickets');
    if (result === 'reply') {
      assert.equal(total, 1, 'replied, but the call did not run');
      const text = new TextDecoder().decode(answer!.body);
      assert.ok(tickets.has(text), 'the answer belongs to another call');
    } else if (result?.outcome === OUTCOME.notRun && !isRepeated) {
      assert.equal(total, 0, 'reported not_run for a call that ran');
    } else if (result?.outcome === OUTCOME.ran) {
      assert.equal(total, 1, 'reported ran for a call that did not run');
    }
  }
}

const index = fc.nat(30);
const target = fc.constantFrom(...TARGETS);
const serviceOutcome = fc.constantFrom('answers', 'answer_lost', 'refuses');
const ms = fc.constantFrom(100, 60_000, TICKET_LIFETIME_MS);
const kind = <K extends string>(name: K) => fc.constant(name);
const deliver = {kind: kind('deliver'), index, duplicate: fc.boolean()};
const action = fc.oneof(
  {weight: 2, arbitrary: fc.record({kind: kind('request')})},
  {weight: 2, arbitrary: fc.record({kind: kind('repeat'), index})},
  {weight: 8, arbitrary: fc.record({kind: kind('step'), index})},
  {weight: 8, arbitrary: fc.record(deliver)},
  {weight: 1, arbitrary: fc.record({kind: kind('lose'), index})},
  {weight: 2, arbitrary: fc.record({kind: kind('timeout'), index})},
  {weight: 1, arbitrary: fc.record({kind: kind('close'), index})},
  {weight: 5, arbitrary: fc.record({kind: kind('start'), target})},
  {
    weight: 5,
    arbitrary: fc.record({kind: kind('execute'), index, serviceOutcome}),
  },
  {weight: 1, arbitrary: fc.record({kind: kind('restart'), target})},
  {weight: 1, arbitrary: fc.record({kind: kind('pause'), target})},
  {weight: 1, arbitrary: fc.record({kind: kind('resume'), target})},
  {weight: 1, arbitrary: fc.record({kind: kind('advance'), ms})},
);
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

/** Schedules long enough for a call to be sent, lost, repeated and settled. */
const schedules = fc.array(action, {
  minLength: 40,
  maxLength: 160,
  size: 'max',
});

function pickItem<T>(items: readonly T[], at: number): T | undefined {
  return items[at % Math.max(1, items.length)];
}

/**
 * Returns the ticket that the caller knows: its own, or one issued by the entry once it has
 * replied.
 */
function ticketKnownToCaller({result, attempts}: Request): string | undefined {
  const {ticket} = attempts;
  return result !== undefined || ticket?.issuedHere === false
    ? ticket?.text
    : undefined;
}

function apply(world: World, chosenAction: Action): void {
  switch (chosenAction.kind) {
    case 'request':
      return world.request();
    case 'repeat': {
      const earlier = pickItem(world.requests, chosenAction.index);
      const ticket = earlier && ticketKnownToCaller(earlier);
      return ticket === undefined ? undefined : world.request(ticket);
    }
    case 'step': {
      const request = pickItem(world.requests, chosenAction.index);
      return request && world.step(request, chosenAction.index);
    }
    case 'deliver': {
      const message = pickItem(world.messages, chosenAction.index);
      return message && world.deliver(message, chosenAction.duplicate);
    }
    case 'lose': {
      const lostMessage = pickItem(world.messages, chosenAction.index);
      world.messages = world.messages.filter(other => other !== lostMessage);
      return;
    }
    case 'timeout': {
      const request = pickItem(world.requests, chosenAction.index);
      return request && world.timeOut(request);
    }
    case 'close': {
      const request = pickItem(world.requests, chosenAction.index);
      if (request?.phase === PHASE.open) request.phase = PHASE.closing;
      return;
    }
    case 'start':
      return world.startCalls(world.processes.get(chosenAction.target)!);
    case 'execute': {
      const call = pickItem(world.calls, chosenAction.index);
      return call && world.execute(call, chosenAction.serviceOutcome);
    }
    case 'restart':
      return world.restart(chosenAction.target);
    case 'pause':
      world.processes.get(chosenAction.target)!.isPaused = true;
      return;
    case 'resume':
      world.processes.get(chosenAction.target)!.isPaused = false;
      return;
    case 'advance':
      world.nowMs += chosenAction.ms;
  }
}

/** Resumes all processes and delivers all messages that remain, including late ones. */
function drain(world: World): void {
  for (let round = 0; round < 16; round++) {
    for (const process of world.processes.values()) {
      process.isPaused = false;
      world.startCalls(process);
    }
    for (const call of world.calls) world.execute(call, 'answers');
    for (const message of world.messages) world.deliver(message, false);
    for (const request of world.requests) {
      if (round % 2 === 1) world.timeOut(request);
      if (round > 3 && request.phase === PHASE.open) {
        request.phase = PHASE.closing;
      }
      world.step(request, round);
    }
  }
}

describe('non-idempotent calls', () => {
  describe('under random schedules of losses, duplicates, delays, restarts, pauses and repeats', () => {
    it('take effect at most once, and callers get a correct outcome', () => {
      const resultCounts = {reply: 0, not_run: 0, ran: 0, unknown: 0};
      fc.assert(
        fc.property(schedules, actions => {
          const world = new World();
          world.request();
          for (const chosenAction of actions) {
            apply(world, chosenAction);
            world.checkAll();
          }
          drain(world);
          world.checkAll();
          for (const request of world.requests) {
            if (request.result === undefined) continue;
            resultCounts[
              request.result === 'reply' ? 'reply' : request.result.outcome
            ]++;
          }
        }),
        {seed: SEED, numRuns: 3_000, includeErrorInReport: true},
      );
      // The schedules must produce each kind of result often enough for the check to be meaningful.
      const leastCount = Math.min(
        resultCounts.reply,
        resultCounts.not_run,
        resultCounts.unknown,
      );
      assert.ok(leastCount > 100, JSON.stringify(resultCounts));
    });
  });
});
