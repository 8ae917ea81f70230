import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {NO_IDLE_RESET, afterIdleReset, usableIdleMs} from '@balsamnotch/core';
import {IdleTimes, TargetConnections} from '../src/entry/connections.js';

describe('idle connections to targets', () => {
  describe('usable idle time', () => {
    it('is a fraction of the idle timeout that the target states or is assumed to have', () => {
      assert.equal(usableIdleMs(NO_IDLE_RESET, 1_000, 0), 600);
      assert.equal(usableIdleMs(NO_IDLE_RESET, 0, 0), 2_400);
    });

    // Otherwise each request after a pause reuses a connection that the target has
    // dropped, and loses its answer.
    it('is shorter than the idle time after which a connection was reset, for 30 seconds', () => {
      const idleTime = afterIdleReset(NO_IDLE_RESET, 500, 0);
      assert.equal(usableIdleMs(idleTime, 1_000, 0), 250);
      assert.equal(usableIdleMs(idleTime, 1_000, 30_000), 600);
    });

    it('decreases with each reset, down to a minimum that lets a busy target reuse connections', () => {
      let idleTime = NO_IDLE_RESET;
      for (const idleMs of [400, 150, 20]) {
        idleTime = afterIdleReset(idleTime, idleMs, 0);
      }
      assert.equal(usableIdleMs(idleTime, 1_000, 0), 50);
    });
  });

  describe('with targets that reset a connection reused after an idle time', () => {
    /** Idle time after which the server resets a reused connection, in milliseconds. */
    const RESET_AFTER_IDLE_MS = 150;
    let server: http.Server;
    let port = 0;
    const answeredAtMs = new WeakMap<Socket, number>();

    beforeEach(async () => {
      server = http.createServer((request, response) => {
        const {socket} = request;
        const atMs = answeredAtMs.get(socket);
        if (
          atMs !== undefined &&
          performance.now() - atMs > RESET_AFTER_IDLE_MS
        ) {
          socket.resetAndDestroy();
          return;
        }
        response.end('ok', () => answeredAtMs.set(socket, performance.now()));
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      port = (server.address() as AddressInfo).port;
    });

    afterEach(() => {
      server.closeAllConnections();
      server.close();
    });

    /** Resolves to `answered` or to an error code. */
    function get(agent: http.Agent): Promise<string> {
      return new Promise(resolve => {
        const request = http.get({port, host: '127.0.0.1', agent}, response => {
          response.resume();
          response.on('end', () => resolve('answered'));
        });
        request.on('error', (error: NodeJS.ErrnoException) =>
          resolve(error.code ?? 'failed'),
        );
      });
    }

    it('lose only one request among all targets of the service', async () => {
      const idleTimes = new IdleTimes(() => performance.now());
      const first = new TargetConnections(4, idleTimes);
      const second = new TargetConnections(4, idleTimes);
      const pauseMs = 2 * RESET_AFTER_IDLE_MS;
      const pause = () => new Promise(resolve => setTimeout(resolve, pauseMs));
      await get(first);
      await pause();
      assert.equal(await get(first), 'ECONNRESET');
      for (const agent of [first, second]) await get(agent);
      await pause();
      for (const agent of [first, second]) {
        assert.equal(await get(agent), 'answered');
        agent.destroy();
      }
    });
  });
});
