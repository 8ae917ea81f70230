import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {Err, Ok} from 'ts-results-es';
import {EMPTY} from 'rxjs';
import {
  generateConfiguration,
  parseQuestionnaire,
  type PublishedConfiguration,
  type Settings,
} from '@balsamnotch/config';
import {NODE_STATE, type Clock} from '@balsamnotch/core';
import type {ConfigService, VM} from '@balsamnotch/systems';
import {ConfigurationController} from '../src/node/configuration.js';
import type {NodeContext, Role} from '../src/node/context.js';
import {createEventLog} from '../src/node/log.js';
import {createMetrics} from '../src/node/metrics.js';
import {serveConnect, type ConnectServer} from '../src/node/server.js';
import {registerNodeService} from '../src/node/service.js';

const clock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

function publishedConfiguration(
  revision: number,
  prefix = 'style-',
): PublishedConfiguration {
  const text = JSON.stringify({
    deployment: 'test',
    revision,
    failureDomains: ['one'],
    entries: 1,
    services: [
      {name: 'assistant', kind: 'model', targets: 1, baseModel: 'base'},
    ],
    adapters: [{prefix, count: 3, group: 'styles', versions: ['v1']}],
    callers: [
      {
        name: 'app',
        key: 'key-of-app',
        groups: ['styles'],
        services: [],
        requestsPerSecond: 10,
      },
    ],
    weightStore: {loadsPerSecond: 3, burst: 2, loadMs: 250, maxInFlight: 16},
    tolerances: {priority: 'load_stalls'},
  });
  return generateConfiguration(
    parseQuestionnaire(text, 'questionnaire.jsonc').unwrap(),
  );
}

/** In-memory configuration service. */
class FakeConfigService implements ConfigService {
  /** Whether each read and watch fails as unreachable. */
  isDown = false;
  /** Whether watches get no answer and fail once their time limits have passed. */
  isSilent = false;
  private version = 0;
  private readonly values = new Map<string, string>();

  publish({manifest, values}: PublishedConfiguration): void {
    this.version++;
    this.values.set('manifest', manifest);
    for (const [name, content] of values) this.values.set(name, content);
  }

  read: ConfigService['read'] = async name => {
    if (this.isDown) return Err({kind: 'unreachable', message: 'down'});
    const content = this.values.get(name);
    if (content === undefined) {
      return Err({kind: 'not_found', message: name});
    }
    return Ok({name, version: this.version, content});
  };

  watch: ConfigService['watch'] = async (
    name,
    knownVersion,
    {waitMs, answerMs},
  ) => {
    if (this.isSilent) {
      await new Promise(resolve =>
        setTimeout(resolve, waitMs + answerMs).unref(),
      );
      return Err({kind: 'timeout', message: 'silent'});
    }
    await new Promise(resolve => setTimeout(resolve, 20));
    if (!this.isDown && knownVersion === this.version) return Ok(undefined);
    return this.read(name);
  };
}

const idleRole: Role = {
  routes: () => undefined,
  start: async () => undefined,
  callerAddress: () => '',
  state: () => NODE_STATE.serving,
  inProgress: () => 0,
  report: () => undefined,
  beginStop: () => undefined,
  cancelStop: () => undefined,
  stopped$: EMPTY,
};

interface TestNode {
  readonly controller: ConfigurationController;
  readonly counters: () => Readonly<Record<string, number>>;
}

const servers: ConnectServer[] = [];
const controllers: ConfigurationController[] = [];

/** Starts a node on the loopback interface and adds it to `vms` once it listens. */
async function startNode(
  name: string,
  service: ConfigService,
  vms: VM[],
): Promise<TestNode> {
  const settings = {name, failureDomain: 'one'} as Settings;
  const metrics = createMetrics(settings);
  const shared = {
    settings,
    clock,
    random: () => 0.5,
    log: createEventLog(name, 'fatal', () => undefined),
    metrics,
    configService: service,
  };
  const controller = new ConfigurationController({...shared, vms: () => vms});
  controllers.push(controller);
  const context = {...shared, incarnation: name} as unknown as NodeContext;
  const server = await serveConnect('127.0.0.1:0', metrics, router =>
    registerNodeService(router, context, controller, idleRole),
  );
  servers.push(server);
  vms.push({
    name,
    role: 'entry',
    service: '',
    address: server.address,
    failureDomain: 'one',
    state: 'live',
  });
  controller.start();
  return {controller, counters: metrics.totals};
}

/** Waits until the condition holds; fails after 5 s with the description. */
async function waitUntil(
  condition: () => boolean,
  description: string,
): Promise<void> {
  const endMs = performance.now() + 5_000;
  while (!condition()) {
    assert.ok(performance.now() < endMs, `timed out after 5 s: ${description}`);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

describe('configuration controller', () => {
  after(async () => {
    for (const controller of controllers) controller.close();
    await Promise.all(servers.map(server => server.close()));
  });

  describe('with the configuration service up', () => {
    // A stale copy from the configuration service must not roll back the configuration.
    it('puts a later revision in force and refuses an older copy', async () => {
      const service = new FakeConfigService();
      service.publish(publishedConfiguration(2));
      const {controller, counters} = await startNode('a', service, []);
      await waitUntil(() => controller.revision() === 2, 'revision 2');
      service.publish(publishedConfiguration(3));
      await waitUntil(() => controller.revision() === 3, 'revision 3');
      service.publish(publishedConfiguration(2));
      await waitUntil(() => counters()['revision_older'] === 1, 'refusal');
      assert.equal(controller.revision(), 3);
    });

    // When all watch connections went silent, the watchers waited up to 30 s for an
    // answer. A change must be in force on all nodes within 9 s.
    it('puts a revision in force soon after a watch that got no answer', async () => {
      const service = new FakeConfigService();
      service.publish(publishedConfiguration(1));
      const {controller} = await startNode('silent', service, []);
      await waitUntil(() => controller.revision() === 1, 'revision 1');
      service.isSilent = true;
      await new Promise(resolve => setTimeout(resolve, 100));
      service.isSilent = false;
      service.publish(publishedConfiguration(2));
      await waitUntil(() => controller.revision() === 2, 'revision 2');
    });

    // An invalid revision must not take effect in part.
    it('rejects an invalid revision as a whole and keeps the previous one', async () => {
      const service = new FakeConfigService();
      service.publish(publishedConfiguration(1));
      const {controller, counters} = await startNode('b', service, []);
      await waitUntil(() => controller.revision() === 1, 'revision 1');
      const invalid = publishedConfiguration(2);
      const manifest = invalid.manifest.replace('"deployment"', '"deploymnt"');
      service.publish({...invalid, manifest});
      await waitUntil(() => counters()['config_rejected'] >= 1, 'rejection');
      assert.equal(controller.revision(), 1);
    });
  });

  describe('with the configuration service down or stale', () => {
    // Without the configuration service, a new node must still get a configuration.
    it('fetches the contents of a newer revision from a peer', async () => {
      const vms: VM[] = [];
      const current = new FakeConfigService();
      current.publish(publishedConfiguration(5));
      const ahead = await startNode('c', current, vms);
      await waitUntil(() => ahead.controller.revision() === 5, 'revision 5');
      const absent = new FakeConfigService();
      absent.isDown = true;
      const fresh = await startNode('d', absent, vms);
      await waitUntil(() => fresh.controller.isReady(), 'readiness');
      assert.equal(fresh.controller.revision(), 5);
      assert.equal(fresh.controller.current()?.adapters.size, 3);
    });

    // A new node that reads a stale copy must not serve with it.
    it('does not become ready with a stale copy while a peer is ahead', async () => {
      const vms: VM[] = [];
      const current = new FakeConfigService();
      current.publish(publishedConfiguration(9));
      const ahead = await startNode('e', current, vms);
      await waitUntil(() => ahead.controller.revision() === 9, 'revision 9');
      const stale = new FakeConfigService();
      stale.publish(publishedConfiguration(4));
      const fresh = await startNode('f', stale, vms);
      await waitUntil(() => fresh.controller.isReady(), 'readiness');
      assert.equal(fresh.controller.revision(), 9);
    });
  });

  describe('with two operators who publish under one revision number', () => {
    // Nodes that see different contents under one number must end with the same one.
    it('agrees on the content that was published first', async () => {
      const vms: VM[] = [];
      const first = new FakeConfigService();
      first.publish(publishedConfiguration(6, 'first-'));
      const second = new FakeConfigService();
      second.publish(publishedConfiguration(5));
      second.publish(publishedConfiguration(6, 'second-'));
      const firstNode = await startNode('g', first, vms);
      const secondNode = await startNode('h', second, vms);
      const haveSameContent = () =>
        firstNode.controller.identity()?.hash ===
        secondNode.controller.identity()?.hash;
      await waitUntil(
        () => firstNode.controller.revision() === 6 && haveSameContent(),
        'same content on both nodes',
      );
      const names = [...secondNode.controller.current()!.adapters.keys()];
      assert.ok(names.every(name => name.startsWith('first-')));
    });
  });
});
