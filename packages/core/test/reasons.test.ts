import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OUTCOME, isRefusalReason, refusal} from '@balsamnotch/core';

describe('reasons', () => {
  describe('refusal', () => {
    it('says not_run when no outcome is given', () => {
      assert.equal(refusal('leaving', 'stopping').outcome, OUTCOME.notRun);
    });
  });

  describe('isRefusalReason', () => {
    it('rejects inherited property names from a peer', () => {
      assert.equal(isRefusalReason('toString'), false);
      assert.equal(isRefusalReason('leaving'), true);
    });
  });
});
