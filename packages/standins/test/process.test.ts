import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {getControl, setControl} from '@balsamnotch/standins';

const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url));

describe('stand-in processes', () => {
  for (const kind of ['engine', 'plain', 'weights', 'configsvc', 'vmlist']) {
    it(`${kind} prints its ports, and refuses and accepts connections as its control route sets`, async () => {
      const child = spawn(process.execPath, [MAIN, kind], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      const [line] = await once(createInterface(child.stdout), 'line');
      const {port, controlPort} = JSON.parse(line);
      const service = `http://127.0.0.1:${port}`;
      const control = `http://127.0.0.1:${controlPort}`;
      await getControl(service);
      await setControl(service, {refuse: true});
      await assert.rejects(fetch(service));
      await setControl(control, {refuse: false});
      await getControl(service);
      await assert.rejects(setControl(control, {unknownFault: true}));
      child.kill('SIGKILL');
      await once(child, 'exit');
    });
  }
});
