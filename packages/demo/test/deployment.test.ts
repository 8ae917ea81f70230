import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {startDeployment} from '@balsamnotch/demo';

const root = new URL('../../../../', import.meta.url);
const questionnaireFile = fileURLToPath(
  new URL('examples/medellin/questionnaire.jsonc', root),
);
const daemonFile = fileURLToPath(new URL('./fakenode.js', import.meta.url));

const isAlive = (pid: number) => {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
};

describe('deployment launcher', () => {
  // Leftover processes and files would disturb later runs; a changed address would not match
  // the VM list.
  it('starts all processes, keeps addresses across a restart and cleans up on close', async () => {
    const deployment = await startDeployment({
      questionnaireFile,
      daemonFile,
      hasRelays: true,
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

    const target = deployment.findNode('booking-2');
    const previousProcess = target.process();
    await target.restart();
    assert.equal(previousProcess.isRunning(), false);
    assert.equal(target.process().startMessage.listen, target.address);
    assert.notEqual(target.process().pid, previousProcess.pid);
    target.process().signal('SIGSTOP');

    const pids = [...entries, ...targets].map(node => node.process().pid);
    await deployment.close();
    assert.deepEqual(pids.filter(isAlive), []);
    assert.equal(existsSync(target.directory), false);
  });

  // A process left running would keep this test file from exiting.
  it('kills the started processes and rejects when a node fails to start', async () => {
    const missing = fileURLToPath(new URL('./missing.js', import.meta.url));
    await assert.rejects(
      startDeployment({
        questionnaireFile,
        daemonFile: missing,
      }),
      /exited with code 1/,
    );
  });
});
