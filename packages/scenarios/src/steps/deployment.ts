/** Steps that start a deployment and inject faults into its processes and connections. */
import assert from 'node:assert/strict';
import {
  After,
  Given,
  Then,
  When,
  setDefaultTimeout,
  setWorldConstructor,
} from '@cucumber/cucumber';
import type {RelayMode, Signal} from '@balsamnotch/demo';
import {generateScenarioConfiguration} from '../deployment.js';
import {Scenario, waitUntil} from '../world.js';

setDefaultTimeout(60_000);
setWorldConstructor(Scenario);

After(async function (this: Scenario) {
  await this.close();
});

Given('a deployment', async function (this: Scenario) {
  await this.start();
});

Given(
  'a deployment whose engines have {int} slots',
  async function (this: Scenario, slots: number) {
    await this.start({slots});
  },
);

When(
  '{string} receives {word}',
  function (this: Scenario, name: string, signal: Signal) {
    this.deployment.findNode(name).process().signal(signal);
  },
);

When(
  '{string} starts again under the same address',
  async function (this: Scenario, name: string) {
    await this.deployment.findNode(name).restart();
  },
);

When('{int} ms pass', async function (this: Scenario, ms: number) {
  await new Promise(resolve => setTimeout(resolve, ms));
});

When(
  'the connections to the serving target become {word}',
  async function (this: Scenario, mode: RelayMode) {
    const name = await this.findServingTarget();
    const {relay} = this.deployment.findNode(name);
    relay?.set(mode);
    // Only the connections already open stay silent. New ones work.
    if (mode !== 'cut') relay?.set('pass');
  },
);

When('the serving engine restarts', async function (this: Scenario) {
  const name = await this.findServingTarget();
  await this.deployment.findNode(name).standIn?.set({restart: true});
});

When('the serving engine refuses connections', async function (this: Scenario) {
  const name = await this.findServingTarget();
  await this.deployment.findNode(name).standIn?.set({refuse: true});
});

When(
  'the serving target receives {word}',
  async function (this: Scenario, signal: Signal) {
    const name = await this.findServingTarget();
    this.deployment.findNode(name).process().signal(signal);
  },
);

When(
  'the service beside {string} answers after {int} ms',
  async function (this: Scenario, name: string, lateMs: number) {
    await this.deployment.findNode(name).standIn?.set({lateMs});
  },
);

When(
  'all plain services take effect without an answer',
  async function (this: Scenario) {
    for (const {standIn} of this.deployment.targets) {
      if (standIn?.kind === 'plain') await standIn.set({afterEffect: 'reset'});
    }
  },
);

When('the configuration service is absent', async function (this: Scenario) {
  await this.deployment.configService.set({refuse: true});
});

When(
  'the configuration service serves the copy before the last',
  async function (this: Scenario) {
    await this.deployment.configService.set({oldCopy: 1});
  },
);

When(
  'an operator publishes revision {int} with current version {string}',
  async function (this: Scenario, revision: number, current: string) {
    const adapters = [
      {
        prefix: 'style-',
        count: 20,
        group: 'styles',
        versions: ['v1', 'v2'],
        current,
      },
    ];
    const changed = await generateScenarioConfiguration(() => ({
      revision,
      adapters,
    }));
    await this.deployment.publish(changed);
  },
);

Then(
  'revision {int} is in force at all nodes within {int} s',
  async function (this: Scenario, revision: number, seconds: number) {
    const {entries, targets} = this.deployment;
    const names = [...entries, ...targets].map(({name}) => name);
    const hashes = new Set<string>();
    const isInForce = async () => {
      hashes.clear();
      const statuses = await Promise.all(
        names.map(name => this.readStatus(name)),
      );
      statuses.forEach(status => hashes.add(status.revisionHash));
      return (
        hashes.size === 1 &&
        statuses.every(status => status.revision === BigInt(revision))
      );
    };
    await waitUntil(
      `revision ${revision} everywhere`,
      isInForce,
      seconds * 1_000,
    );
  },
);

Then(
  '{string} has revision {int} in force once it is ready',
  async function (this: Scenario, name: string, revision: number) {
    await this.deployment.awaitReady(this.deployment.findNode(name));
    const status = await this.readStatus(name);
    assert.equal(status.revision, BigInt(revision));
  },
);

Then(
  'the process of {string} ends with exit code {int}',
  async function (this: Scenario, name: string, code: number) {
    assert.equal(await this.deployment.findNode(name).process().exited, code);
  },
);

Then('no adapter was evicted in use', async function (this: Scenario) {
  assert.equal(await this.sumEngineCounter('evictedInUse'), 0);
});

Then(
  'no stream through {string} had to be continued elsewhere',
  async function (this: Scenario, entry: string) {
    const {counters} = await this.readStatus(entry);
    for (const reason of ['stream_broken', 'silent', 'engine_failed']) {
      assert.equal(counters[`retried.${reason}`] ?? 0, 0, reason);
    }
  },
);
