import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OUTCOME, isRefusalReason, refusal} from '@balsamnotch/core';

describe('reasons', () => {
  describe('refusal', () => {
    it('has the outcome not_run by default', () => {
      assert.equal(refusal('leaving', 'stopping').outcome, OUTCOME.notRun);
    });
  });

  describe('isRefusalReason', () => {
    it('rejects names of inherited object properties sent by a peer', () => {
      assert.equal(isRefusalReason('toString'), false);
      assert.equal(isRefusalReason('leaving'), true);
    });
  });
});
