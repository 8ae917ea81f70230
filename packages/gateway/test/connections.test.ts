import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {NO_RESET, afterIdleReset, usableIdleMs} from '@balsamnotch/core';
import {IdleTimes, TargetConnections} from '../src/entry/connections.js';

describe('idle connections', () => {
  describe('usable time', () => {
    it('is part of what the target states', () => {
      assert.equal(usableIdleMs(NO_RESET, 1_000, 0), 600);
      assert.equal(usableIdleMs(NO_RESET, 0, 0), 2_400);
    });

    it('is below the time after which one was reset, for half a minute (each request after a pause lost its answer)', () => {
      const known = afterIdleReset(NO_RESET, 500, 0);
      assert.equal(usableIdleMs(known, 1_000, 0), 250);
      assert.equal(usableIdleMs(known, 1_000, 30_000), 600);
    });

    it('goes down further with each reset, but not below what a busy target needs', () => {
      let known = NO_RESET;
      for (const idleMs of [400, 150, 20]) {
        known = afterIdleReset(known, idleMs, 0);
      }
      assert.equal(usableIdleMs(known, 1_000, 0), 50);
    });
  });

  describe('a target that resets connections that rested', () => {
    /** Idle time after which the target drops a connection, in milliseconds. */
    const DROPPED_MS = 150;
    let server: http.Server;
    let port = 0;
    const answeredAt = new WeakMap<Socket, number>();

    beforeEach(async () => {
      server = http.createServer((request, response) => {
        const {socket} = request;
        const at = answeredAt.get(socket);
        if (at !== undefined && performance.now() - at > DROPPED_MS) {
          socket.resetAndDestroy();
          return;
        }
        response.end('ok', () => answeredAt.set(socket, performance.now()));
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

    it('costs one request, for all targets of the service', async () => {
      const times = new IdleTimes(() => performance.now());
      const first = new TargetConnections(4, times);
      const second = new TargetConnections(4, times);
      const pauseMs = 2 * DROPPED_MS;
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
