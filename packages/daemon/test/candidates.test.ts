import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidatesOf} from '../src/entry/candidates.js';
import type {Parts} from '../src/entry/parts.js';
import type {Plan} from '../src/entry/request.js';
import {configurationOf} from './entry-harness.js';

describe('candidates', () => {
  const usable = [{listed: {name: 'b1'}, report: {state: 'serving'}}];
  const parts = {
    targets: {usable: () => usable, avoided: () => ['b2']},
    context: {random: () => 0.5},
  } as unknown as Parts;
  const plan = {kind: 'call', service: {name: 'booking'}} as unknown as Plan;

  // With two targets, one cut and one avoided since the start, the third attempt
  // of a chat went to the cut target again.
  it('name avoided targets last, and only after a failed attempt', () => {
    const configuration = configurationOf();
    assert.deepEqual(candidatesOf(parts, plan, configuration), ['b1']);
    const later = candidatesOf(parts, plan, configuration, true);
    assert.deepEqual(later, ['b1', 'b2']);
  });
});
