import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidateNames} from '../src/entry/candidates.js';
import type {EntryComponents} from '../src/entry/parts.js';
import type {Plan} from '../src/entry/request.js';
import {configurationOf} from './entry-harness.js';

describe('candidates', () => {
  const usable = [{listed: {name: 'b1'}, report: {state: 'serving'}}];
  const components = {
    targets: {usable: () => usable, avoided: () => ['b2']},
    context: {random: () => 0.5},
  } as unknown as EntryComponents;
  const plan = {kind: 'call', service: {name: 'booking'}} as unknown as Plan;

  // Guards against a third attempt of a chat that goes to a disconnected target again
  // because the only other target, avoided since startup, is left out.
  it('include avoided targets last, and only after a failed attempt', () => {
    const configuration = configurationOf();
    assert.deepEqual(candidateNames(components, plan, configuration), ['b1']);
    const later = candidateNames(components, plan, configuration, true);
    assert.deepEqual(later, ['b1', 'b2']);
  });
});
