/** Stand-in for the platform's VM list, which can lag behind the actual VMs. */
import {z} from 'zod';
import {
  NOT_FOUND,
  commonFaults,
  json,
  startStandIn,
  type StandIn,
  type StandInOptions,
} from './server.js';

const vmSchema = z.object({
  name: z.string(),
  role: z.enum(['entry', 'target']),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** A VM in the list. */
export type ListedVM = z.infer<typeof vmSchema>;

/** Schema of the settings and faults of the VM list stand-in. */
export const vmListControl = z
  .strictObject({
    ...commonFaults,
    /** Replaces the whole list. */
    vms: z.array(vmSchema),
    /** Serves the list as it was this long ago, in milliseconds. */
    lagMs: z.number().nonnegative(),
  })
  .partial();

type Control = z.infer<typeof vmListControl>;

/** Starts a VM list stand-in. */
export function startVMList(
  options: StandInOptions<Control> = {},
): Promise<StandIn> {
  const counters = {reads: 0};
  let lagMs = 0;
  /** All lists that were set, oldest first. */
  const history: Array<{
    readonly atMs: number;
    readonly vms: readonly ListedVM[];
  }> = [{atMs: 0, vms: []}];

  function apply(control: Control): void {
    lagMs = control.lagMs ?? lagMs;
    if (control.vms !== undefined) {
      history.push({atMs: Date.now(), vms: control.vms});
    }
  }

  function visibleVMs(): readonly ListedVM[] {
    const atMs = Date.now() - lagMs;
    return history.findLast(list => list.atMs <= atMs)?.vms ?? [];
  }

  return startStandIn(
    {
      control: vmListControl,
      apply,
      report: () => ({lagMs, vms: history.at(-1)?.vms ?? [], counters}),
      handle(request) {
        if (request.path.join('/') !== 'v1/vms') return NOT_FOUND;
        counters.reads += 1;
        return json(200, {vms: visibleVMs()});
      },
    },
    options,
  );
}
