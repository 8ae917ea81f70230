/** HTTP client for the platform's VM list. */
import {Err, Ok} from 'ts-results-es';
import {z} from 'zod';
import {
  CONNECT_TIMEOUT_MS,
  MAX_RESPONSE_BYTES,
  REQUEST_TIMEOUT_MS,
  parseJson,
  send,
} from './http.js';
import type {VMList, VMListError} from './vmlist.js';

/** Options of {@link httpVMList}, in milliseconds. */
export interface VMListOptions {
  readonly connectTimeoutMs: number;
  readonly timeoutMs: number;
}

const vmListSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string().min(1),
      role: z.enum(['entry', 'target']),
      service: z.string(),
      address: z.string().min(1),
      failureDomain: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Creates a client for the VM list at a base URL. */
export function httpVMList(
  url: string,
  options: Partial<VMListOptions> = {},
): VMList {
  return {
    async read() {
      const sent = await send({
        method: 'GET',
        url: `${url}/v1/vms`,
        connectTimeoutMs: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
        timeoutMs: options.timeoutMs ?? REQUEST_TIMEOUT_MS,
        maxAnswerBytes: MAX_RESPONSE_BYTES,
      });
      if (sent.isErr()) {
        const {kind, message} = sent.error;
        return Err(
          vmListError(
            kind === 'broken' || kind === 'oversized' ? 'failed' : kind,
            message,
          ),
        );
      }
      const {status, body} = sent.value;
      if (status !== 200) return Err(vmListError('failed', `HTTP ${status}`));
      const parsed = vmListSchema.safeParse(parseJson(body.toString()));
      return parsed.success
        ? Ok(parsed.data.vms)
        : Err(vmListError('failed', z.prettifyError(parsed.error)));
    },
  };
}

function vmListError(kind: VMListError['kind'], message: string): VMListError {
  return {kind, message};
}
