/** Resolves a request against the configuration and checks the permissions of its caller. */
import type {Service} from '@balsamnotch/config';
import {OUTCOME, decodeTicket, refusal, type Refusal} from '@balsamnotch/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {
  ParsedRequest,
  CallPlan,
  CallTask,
  ChatTask,
  Plan,
} from './request.js';

function planChat(
  {caller, configuration}: ParsedRequest,
  task: ChatTask,
): Result<Plan, Refusal> {
  const adapter = configuration.adapters.get(task.adapter);
  if (adapter === undefined) {
    return Err(refusal('unknown_adapter', `no adapter ${task.adapter}`));
  }
  if (!caller.groups.includes(adapter.group)) {
    return Err(
      refusal('not_permitted', `no permission for adapter ${adapter.name}`),
    );
  }
  const version = task.version ?? adapter.current;
  if (!adapter.versions.includes(version)) {
    return Err(
      refusal('unknown_version', `adapter ${adapter.name} has no ${version}`),
    );
  }
  const service = configuration.services.find(
    ({kind, baseModel}) => kind === 'model' && baseModel === adapter.baseModel,
  );
  if (service === undefined) {
    return Err(
      refusal('unknown_service', `no service for model ${adapter.baseModel}`),
    );
  }
  return Ok({kind: 'chat', adapter: adapter.name, version, service, task});
}

function plainService(
  {caller, configuration}: ParsedRequest,
  name: string,
): Result<Service, Refusal> {
  const service = configuration.services.find(
    candidate => candidate.kind === 'plain' && candidate.name === name,
  );
  if (service === undefined) {
    return Err(refusal('unknown_service', `no service ${name}`));
  }
  if (!caller.services.includes(name)) {
    return Err(refusal('not_permitted', `no permission for service ${name}`));
  }
  return Ok(service);
}

/**
 * Decodes the ticket sent by the caller and checks that it was issued to this caller for
 * this service.
 */
function callerTicket(
  {caller}: ParsedRequest,
  {service, idempotencyKey}: CallTask,
): Result<CallPlan['ticket'], Refusal> {
  if (idempotencyKey === undefined) return Ok(undefined);
  return decodeTicket(idempotencyKey).andThen(ticket => {
    if (ticket.service === service && ticket.caller === caller.name) {
      return Ok({text: idempotencyKey, ticket});
    }
    const outcome = OUTCOME.unknown;
    const message = 'ticket of another caller or service';
    return Err(refusal('ticket_invalid', message, {outcome}));
  });
}

function planCall(
  request: ParsedRequest,
  task: CallTask,
): Result<Plan, Refusal> {
  return plainService(request, task.service).andThen(service => {
    const operation = service.operations.find(
      ({name}) => name === task.operation,
    );
    if (operation === undefined) {
      const message = `${service.name} has no operation ${task.operation}`;
      return Err(refusal('unknown_operation', message));
    }
    if (operation.repeatable) return Ok({kind: 'call', service, operation});
    return callerTicket(request, task).map((ticket): Plan => ({
      kind: 'call',
      service,
      operation,
      ticket,
    }));
  });
}

/**
 * Returns the plan for a request, or a refusal if a name is unknown or use is not
 * permitted.
 */
export function planRequest(request: ParsedRequest): Result<Plan, Refusal> {
  const {task} = request;
  switch (task.kind) {
    case 'chat':
      return planChat(request, task);
    case 'call':
      return planCall(request, task);
    case 'ticket':
      return plainService(request, task.service).map((service): Plan => ({
        kind: 'ticket',
        service,
      }));
  }
}
