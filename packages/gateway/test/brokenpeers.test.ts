import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {START_POSITION} from '@balsamnotch/core';
import {
  RAW_END,
  answerBytes,
  startRawServer,
  type RawServer,
} from '@balsamnotch/standins';
import {createSnapshotFetcher} from '../src/node/peers.js';

/** Messages of a peer that are no answer, by what they are. */
const MESSAGES = {
  'an answer of HTTP/1.1': answerBytes({body: '{"revision":"9"}'}),
  'an answer with the status 000': answerBytes({status: '000', body: '{}'}),
  // A frame of settings without values, and the first bytes of one with headers.
  'a part of an answer of HTTP/2':
    '\0\0\0\x04\0\0\0\0\0\0\0\x20\x01\x04\0\0\0\x01\x88',
  // A header block with the status 200 in which the stream ends.
  'an answer of HTTP/2 without a message':
    '\0\0\0\x04\0\0\0\0\0\0\0\x01\x01\x05\0\0\0\x01\x88',
  'no byte': '',
};

describe('answers of a peer in trouble', () => {
  let server: RawServer | undefined;
  afterEach(async () => server?.close());

  for (const [name, bytes] of Object.entries(MESSAGES)) {
    // Failure: a node took what such a peer sent for a state, or ended with an exception.
    it(`are not used: ${name}`, async () => {
      for (const end of Object.values(RAW_END)) {
        server = await startRawServer(() => ({bytes, end}));
        const log = () => undefined;
        const fetch = createSnapshotFetcher(
          () => [`127.0.0.1:${server?.port}`],
          'node-1',
          {debug: log, info: log, warn: log, error: log},
        );
        assert.equal(await fetch(START_POSITION, true), undefined, end);
        await server.close();
      }
    });
  }
});
