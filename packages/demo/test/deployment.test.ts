import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {startDeployment} from '@balsamnotch/demo';

const root = new URL('../../../../', import.meta.url);
const questionnaire = fileURLToPath(
  new URL('examples/medellin/questionnaire.jsonc', root),
);
const daemon = fileURLToPath(new URL('./fakenode.js', import.meta.url));

const isAlive = (pid: number) => {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
};

describe('deployment launcher', () => {
  it('starts every process, keeps addresses over a restart, leaves nothing behind', async () => {
    const deployment = await startDeployment({
      questionnaire,
      daemon,
      relays: true,
    });
    const {entries, targets, vmList, configService} = deployment;
    assert.deepEqual([entries.length, targets.length], [2, 10]);
    const {vms} = (await vmList.report()) as unknown as {
      vms: ReadonlyArray<{name: string; address: string}>;
    };
    assert.deepEqual(
      new Map(vms.map(({name, address}) => [name, address])),
      new Map(
        [...entries, ...targets].map(({name, listedAddress}) => [
          name,
          listedAddress,
        ]),
      ),
    );
    const {versions} = await configService.report();
    assert.equal((versions as Record<string, number>).manifest, 1);

    const target = deployment.node('booking-2');
    const before = target.process();
    await target.restart();
    assert.equal(before.isRunning(), false);
    assert.equal(target.process().first.listen, target.address);
    assert.notEqual(target.process().pid, before.pid);
    target.process().signal('SIGSTOP');

    const pids = [...entries, ...targets].map(node => node.process().pid);
    await deployment.close();
    assert.deepEqual(pids.filter(isAlive), []);
    assert.equal(existsSync(target.directory), false);
  });

  it('ends what it had started when a node fails to start', async () => {
    const missing = fileURLToPath(new URL('./missing.js', import.meta.url));
    await assert.rejects(
      startDeployment({questionnaire, daemon: missing}),
      /exited with code 1/,
    );
  });
});
