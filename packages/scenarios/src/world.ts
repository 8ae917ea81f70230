/** State of one scenario: its own deployment and the responses its callers received. */
import {World} from '@cucumber/cucumber';
import type {EntryAccess, CallerResponse, Deployment} from '@balsamnotch/demo';
import type {StatusResponse} from '@balsamnotch/wire';
import type {ChatStream} from './caller.js';
import {
  entryAccess,
  countEffectsByBooking,
  startDeploymentWithRelays,
  readStatus,
} from './deployment.js';

const POLL_INTERVAL_MS = 25;

/** Cucumber world; each scenario gets a new instance. */
export class Scenario extends World {
  private current?: Deployment;
  /** Tickets by booking. */
  readonly tickets = new Map<string, string>();
  /** Responses to confirmations by booking; rejects if none arrives. */
  readonly responses = new Map<string, Promise<CallerResponse>>();
  /** Streamed chats by the name that the scenario gives them. */
  readonly streams = new Map<string, ChatStream>();

  /** Starts the deployment with a relay in front of each target. */
  async start(engineControl: object = {}): Promise<void> {
    this.current = await startDeploymentWithRelays(engineControl);
  }

  /** The started deployment. Throws if there is none. */
  get deployment(): Deployment {
    if (this.current === undefined) throw new Error('deployment not started');
    return this.current;
  }

  async close(): Promise<void> {
    await this.current?.close();
  }

  entryAccess(entry: string): EntryAccess {
    return entryAccess(this.deployment, entry);
  }

  /** Counts how often a booking was confirmed, over all plain services. */
  async countEffects(booking: string): Promise<number> {
    return (await countEffectsByBooking(this.deployment)).get(booking) ?? 0;
  }

  /** Sum of a counter over all engines. */
  async sumEngineCounter(counter: string): Promise<number> {
    const engines = this.deployment.targets.flatMap(({standIn}) =>
      standIn?.kind === 'engine' ? [standIn] : [],
    );
    const reports = await Promise.all(engines.map(engine => engine.report()));
    return reports.reduce(
      (sum, report) =>
        sum + ((report.counters as Record<string, number>)[counter] ?? 0),
      0,
    );
  }

  /** Reads the status of a node. Rejects if it does not respond within 2 s. */
  readStatus(name: string): Promise<StatusResponse> {
    return readStatus(this.deployment, name);
  }

  /** Waits for an assistant target with a request in progress and returns its name. */
  async findServingTarget(): Promise<string> {
    let targetName = '';
    await waitUntil('a target with work in progress', async () => {
      for (const {name, service} of this.deployment.targets) {
        if (service !== 'assistant') continue;
        const status = await this.readStatus(name).catch(() => undefined);
        if ((status?.report?.active ?? 0) > 0) targetName = name;
      }
      return targetName !== '';
    });
    return targetName;
  }
}

/** Polls until `condition` returns true. Rejects after `timeoutMs`. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number = 15_000,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      throw new Error(
        `timed out after ${timeoutMs} ms waiting for ${description}`,
      );
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
