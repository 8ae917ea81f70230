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
  answered,
  beginAttempts,
  checkTicket,
  decodeTicket,
  encodeTicket,
  lost,
  nextStep,
  outcomeOf,
  refusal,
  refused,
  sent,
  settled,
  ticketIssued,
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

/** One process beside a service. A restart replaces it; its messages die with it. */
interface Process {
  readonly target: string;
  readonly incarnation: string;
  readonly startedMs: number;
  readonly table: CallTable;
  paused: boolean;
  alive: boolean;
}

/** What a process sends back for a call or a settlement. */
type Reply =
  | {readonly kind: 'answer'; readonly answer: CallAnswer}
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  | {
      readonly kind: 'settled';
      readonly outcome: Outcome;
      readonly running: boolean;
    };

/** A message on a connection to one process, or the reply on its way back. */
interface Message {
  readonly request: Request;
  readonly process: Process;
  readonly kind: 'call' | 'settle';
  readonly ticket: string;
  /** Number of the send or settlement that it belongs to. */
  readonly turn: number;
  reply?: Reply;
}

/** A request at one entry, and what was said to its caller. */
interface Request {
  attempts: Attempts;
  phase: Phase;
  turn: number;
  waiting: boolean;
  readonly tickets: Set<string>;
  said?: Refusal | 'reply';
  answer?: CallAnswer;
}

/** Waits of the service: which process sent which ticket. */
interface ServiceCall {
  readonly process: Process;
  readonly ticket: string;
}

/** Entries, processes and a service that counts what took effect. */
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
  /** Incarnation and start of each target as the entries last heard it. */
  private readonly heard = new Map(this.processes);

  private start(target: string): Process {
    const incarnation = `${target}${this.serial++}`;
    const table = new CallTable({capacity: 8});
    const startedMs = this.nowMs;
    return {target, incarnation, startedMs, table, paused: false, alive: true};
  }

  /** Reading of a process's own clock, which starts anew with each process. */
  clock({startedMs}: Process): number {
    return 1_000 + this.nowMs - startedMs;
  }

  restart(target: string): void {
    this.processes.get(target)!.alive = false;
    this.processes.set(target, this.start(target));
  }

  request(text?: string): void {
    const ticket = text && decodeTicket(text).unwrap();
    const held = ticket && {...ticket, text, issuedHere: false};
    this.requests.push({
      attempts: beginAttempts(WORK.ticketed, held || undefined),
      phase: PHASE.open,
      turn: 0,
      waiting: false,
      tickets: new Set(text ? [text] : []),
    });
  }

  /** Takes the next step of a request that waits for nothing. */
  step(request: Request, offset: number): void {
    if (request.said !== undefined || request.waiting) return;
    const step = nextStep(request.attempts, {
      phase: request.phase,
      candidates: TARGETS.map((_, i) => TARGETS[(i + offset) % 4]),
      mayRetry: true,
    });
    switch (step.kind) {
      case 'reply':
        request.said = 'reply';
        return;
      case 'refuse':
        request.said = step.refusal;
        return;
      case 'issue':
        return this.issue(request, step.target);
      case 'settle':
        return this.send(request, 'settle', step.ticket.target);
      case 'send':
      case 'reattach':
        request.attempts = sent(request.attempts, step.target);
        return this.send(request, 'call', step.target);
    }
  }

  private issue(request: Request, target: string): void {
    const heard = this.heard.get(target)!;
    const {incarnation} = heard;
    const text = encodeTicket({
      service: SERVICE,
      target,
      incarnation,
      nonce: String(this.serial++),
      caller: CALLER,
      issuedNodeClockMs: this.clock(heard),
    });
    request.tickets.add(text);
    request.attempts = ticketIssued(request.attempts, {
      text,
      target,
      incarnation,
    });
  }

  private send(request: Request, kind: Message['kind'], target: string): void {
    const process = this.processes.get(target)!;
    const ticket = request.attempts.ticket!.text;
    request.waiting = true;
    const turn = ++request.turn;
    this.messages.push({request, process, kind, ticket, turn});
  }

  /** The entry waits no longer for an answer to its last message. */
  timeOut(request: Request): void {
    if (!request.waiting) return;
    request.waiting = false;
    request.turn++;
    const open = request.attempts.sends.at(-1)?.state === SEND_STATE.open;
    if (open) request.attempts = lost(request.attempts, 'silent');
    else if (request.phase === PHASE.closing) request.phase = PHASE.over;
  }

  /** Moves a message to its process, or its reply to the entry. */
  deliver(message: Message, keep: boolean): void {
    const {process} = message;
    if (process.paused) return;
    if (!keep) this.messages = this.messages.filter(other => other !== message);
    if (message.reply !== undefined) return this.take(message);
    if (!process.alive) return;
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
    const checked = this.check(process, ticket);
    if (checked.isErr()) return {kind: 'refusal', refusal: checked.error};
    const known = process.table.get(ticket);
    const accepted = process.table.accept({ticket, digest: 'd'}, nowMs);
    if (accepted.isErr()) return {kind: 'refusal', refusal: accepted.error};
    if (known !== undefined) return this.recorded(process, ticket);
    return undefined;
  }

  /** Answer for a ticket with a final record. */
  private recorded({table}: Process, ticket: string): Reply | undefined {
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
    const invalid = this.check(process, ticket).isErr();
    const record = invalid ? undefined : process.table.cancel(ticket, nowMs);
    if (record === undefined) {
      return {kind: 'settled', outcome: OUTCOME.unknown, running: false};
    }
    if (record.state === CALL_STATE.finished) {
      return {kind: 'answer', answer: record.answer!};
    }
    const running = record.state === CALL_STATE.running;
    return {kind: 'settled', outcome: outcomeOf(record), running};
  }

  private take({request, reply, turn, process}: Message): void {
    this.heard.set(process.target, process);
    if (turn !== request.turn || reply === undefined) return;
    request.waiting = false;
    switch (reply.kind) {
      case 'answer':
        request.answer = reply.answer;
        request.attempts = answered(request.attempts);
        return;
      case 'refusal':
        request.attempts = refused(request.attempts, reply.refusal);
        return;
      case 'settled':
        request.attempts = settled(request.attempts, reply);
        if (request.phase === PHASE.closing) request.phase = PHASE.over;
    }
  }

  /** Sends a queued call of a process to its service. */
  startCalls(process: Process): void {
    if (!process.alive || process.paused) return;
    const tickets = this.requests.flatMap(request => [...request.tickets]);
    for (const ticket of tickets) {
      if (process.table.start(ticket, this.clock(process)) !== undefined) {
        this.calls.push({process, ticket});
      }
    }
  }

  /** The service takes or refuses a call; its answer may be lost. */
  serve(call: ServiceCall, fate: 'answers' | 'answer_lost' | 'refuses'): void {
    this.calls = this.calls.filter(other => other !== call);
    const {process, ticket} = call;
    if (fate !== 'refuses') {
      this.effects.set(ticket, (this.effects.get(ticket) ?? 0) + 1);
    }
    if (!process.alive) return;
    const body = new TextEncoder().encode(ticket);
    const answer = {status: 200, contentType: 'text/plain', body};
    const ends: Record<typeof fate, CallEnd> = {
      answers: {kind: 'answered', answer},
      answer_lost: {kind: 'lost'},
      refuses: {kind: 'not_sent'},
    };
    const record = process.table.end(ticket, ends[fate], this.clock(process));
    if (record === undefined) return;
    for (const request of this.requests) {
      const held = request.attempts.ticket?.text;
      if (!request.waiting || held !== ticket) continue;
      const reply = this.recorded(process, ticket);
      const {turn} = request;
      if (reply === undefined || reply.kind === 'settled') continue;
      this.messages.push({request, process, kind: 'call', ticket, turn, reply});
    }
  }

  /** Checks what was said against what took effect. */
  checkAll(): void {
    for (const [ticket, effects] of this.effects) {
      assert.ok(effects <= 1, `${ticket} took effect ${effects} times`);
    }
    this.requests.forEach((request, i) => {
      const later = this.requests.slice(i + 1);
      // A repeat may run what an earlier request with the ticket did not.
      const repeated = later.some(({tickets}) =>
        [...tickets].some(ticket => request.tickets.has(ticket)),
      );
      this.checkSaid(request, repeated);
    });
  }

  private checkSaid({said, tickets, answer}: Request, repeated: boolean): void {
    const effects = [...tickets].map(ticket => this.effects.get(ticket) ?? 0);
    const total = effects.reduce((sum, count) => sum + count, 0);
    assert.ok(total <= 1, 'one request took effect under two tickets');
    if (said === 'reply') {
      assert.equal(total, 1, 'replied without an effect');
      const text = new TextDecoder().decode(answer!.body);
      assert.ok(tickets.has(text), 'answer of another call');
    } else if (said?.outcome === OUTCOME.notRun && !repeated) {
      assert.equal(total, 0, 'said not_run of a call that ran');
    } else if (said?.outcome === OUTCOME.ran) {
      assert.equal(total, 1, 'said ran of a call that did not run');
    }
  }
}

const index = fc.nat(30);
const target = fc.constantFrom(...TARGETS);
const fate = fc.constantFrom('answers', 'answer_lost', 'refuses');
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
  {weight: 5, arbitrary: fc.record({kind: kind('serve'), index, fate})},
  {weight: 1, arbitrary: fc.record({kind: kind('restart'), target})},
  {weight: 1, arbitrary: fc.record({kind: kind('pause'), target})},
  {weight: 1, arbitrary: fc.record({kind: kind('wake'), target})},
  {weight: 1, arbitrary: fc.record({kind: kind('advance'), ms})},
);
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

/** Long enough for a call to be sent, lost, repeated and settled. */
const schedule = fc.array(action, {
  minLength: 40,
  maxLength: 160,
  size: 'max',
});

function pick<T>(items: readonly T[], at: number): T | undefined {
  return items[at % Math.max(1, items.length)];
}

/** A caller learns a ticket that an entry issued from the reply. */
function knownTicket({said, attempts}: Request): string | undefined {
  const {ticket} = attempts;
  return said !== undefined || ticket?.issuedHere === false
    ? ticket?.text
    : undefined;
}

function apply(world: World, taken: Action): void {
  switch (taken.kind) {
    case 'request':
      return world.request();
    case 'repeat': {
      const earlier = pick(world.requests, taken.index);
      const ticket = earlier && knownTicket(earlier);
      return ticket === undefined ? undefined : world.request(ticket);
    }
    case 'step': {
      const request = pick(world.requests, taken.index);
      return request && world.step(request, taken.index);
    }
    case 'deliver': {
      const message = pick(world.messages, taken.index);
      return message && world.deliver(message, taken.duplicate);
    }
    case 'lose': {
      const lostMessage = pick(world.messages, taken.index);
      world.messages = world.messages.filter(other => other !== lostMessage);
      return;
    }
    case 'timeout': {
      const request = pick(world.requests, taken.index);
      return request && world.timeOut(request);
    }
    case 'close': {
      const request = pick(world.requests, taken.index);
      if (request?.phase === PHASE.open) request.phase = PHASE.closing;
      return;
    }
    case 'start':
      return world.startCalls(world.processes.get(taken.target)!);
    case 'serve': {
      const call = pick(world.calls, taken.index);
      return call && world.serve(call, taken.fate);
    }
    case 'restart':
      return world.restart(taken.target);
    case 'pause':
      world.processes.get(taken.target)!.paused = true;
      return;
    case 'wake':
      world.processes.get(taken.target)!.paused = false;
      return;
    case 'advance':
      world.nowMs += taken.ms;
  }
}

/** Wakes all processes and delivers everything that is left, also late messages. */
function drain(world: World): void {
  for (let round = 0; round < 16; round++) {
    for (const process of world.processes.values()) {
      process.paused = false;
      world.startCalls(process);
    }
    for (const call of world.calls) world.serve(call, 'answers');
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
  describe('random schedules of losses, duplicates, delays, restarts, pauses and repeats', () => {
    it('take effect at most once, and the caller is told the truth', () => {
      const said = {reply: 0, not_run: 0, ran: 0, unknown: 0};
      fc.assert(
        fc.property(schedule, actions => {
          const world = new World();
          world.request();
          for (const taken of actions) {
            apply(world, taken);
            world.checkAll();
          }
          drain(world);
          world.checkAll();
          for (const request of world.requests) {
            if (request.said === undefined) continue;
            said[request.said === 'reply' ? 'reply' : request.said.outcome]++;
          }
        }),
        {seed: SEED, numRuns: 3_000, includeErrorInReport: true},
      );
      // The schedules must reach each kind of end, or the check proves little.
      const reached = Math.min(said.reply, said.not_run, said.unknown);
      assert.ok(reached > 100, JSON.stringify(said));
    });
  });
});
