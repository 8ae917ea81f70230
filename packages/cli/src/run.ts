/** Validates the flags of a command line and runs the command. */
import {FILE_KIND, isAddress} from '@balsamnotch/config';
import type {ConfigService, VMList} from '@balsamnotch/systems';
import {Err, Ok, type Result} from 'ts-results-es';
import {check} from './check.js';
import {listDrills, runDrill} from './drills/index.js';
import {EXIT, type ExitCode} from './exit.js';
import {init} from './init.js';
import type {NodeAddress} from './nodes.js';
import {status} from './status.js';
import {stop} from './stop.js';
import type {Terminal} from './terminal.js';

/** Default of `--parallel`: concurrent chats of a drill. */
const DEFAULT_PARALLEL_CHATS = 4;

/** Default of `--duration-ms`: longest wait or observation of a drill, in milliseconds. */
const DEFAULT_DURATION_MS = 30_000;

/** Flags of all commands, as parsed from the command line but not validated. */
export interface Flags {
  readonly answers?: string;
  readonly out?: string;
  readonly force?: boolean;
  readonly kind?: string;
  readonly against?: string;
  readonly vmList?: string;
  readonly nodes?: string;
  readonly adapters?: boolean;
  readonly node?: string;
  readonly cancel?: boolean;
  readonly wait?: boolean;
  readonly waitMs?: number;
  readonly list?: boolean;
  readonly callerUrl?: string;
  readonly key?: string;
  readonly model?: string;
  readonly parallel?: number;
  readonly configService?: string;
  readonly revision?: number;
  readonly durationMs?: number;
}

/** Creates clients of external systems from their base URLs. */
export interface ClientFactory {
  vmList(url: string): VMList;
  configService(url: string): ConfigService;
}

/** Arguments and dependencies of one command. */
export interface Invocation {
  /** Positional arguments after the command name. */
  readonly input: readonly string[];
  readonly flags: Flags;
  readonly clients: ClientFactory;
  readonly terminal: Terminal;
}

/** Error that keeps a command from starting. */
interface InvocationError {
  readonly code: ExitCode;
  readonly message: string;
}

function usageError(message: string): Err<InvocationError> {
  return Err({code: EXIT.usage, message});
}

function splitList(list: string | undefined): readonly string[] {
  return (list ?? '').split(',').filter(item => item !== '');
}

/** Returns whether a numeric flag is absent or a positive integer. */
function isAbsentOrPositiveInteger(value: number | undefined): boolean {
  return value === undefined || (Number.isSafeInteger(value) && value > 0);
}

function isAbsentOrHTTPURL(url: string | undefined): boolean {
  return url === undefined || /^http:\/\/[^\s]+$/.test(url);
}

/** Returns messages about malformed flag values; applies to every command. */
function flagErrors(flags: Flags): readonly string[] {
  const {waitMs, parallel, revision, durationMs} = flags;
  const counts = {waitMs, parallel, revision, durationMs};
  const {vmList, callerUrl, configService} = flags;
  const urls = {vmList, callerUrl, configService};
  const flagName = (key: string) =>
    `--${key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
  const addresses = [...splitList(flags.nodes), ...splitList(flags.node)];
  return [
    ...Object.entries(counts)
      .filter(([, value]) => !isAbsentOrPositiveInteger(value))
      .map(([key]) => `${flagName(key)} must be a whole number of at least 1`),
    ...Object.entries(urls)
      .filter(([, value]) => !isAbsentOrHTTPURL(value))
      .map(([key]) => `${flagName(key)} must be an http:// URL`),
    ...addresses
      .filter(address => !isAddress(address))
      .map(address => `"${address}" must be ip:port`),
  ];
}

/** Returns the nodes of `--nodes` or of the VM list; empty when neither flag is given. */
async function resolveNodes({
  flags,
  clients,
}: Invocation): Promise<Result<readonly NodeAddress[], InvocationError>> {
  if (flags.vmList === undefined) {
    return Ok(
      splitList(flags.nodes).map(address => ({address, name: address})),
    );
  }
  if (flags.nodes !== undefined) {
    return usageError('--vm-list and --nodes cannot be used together');
  }
  const vms = await clients.vmList(flags.vmList).read();
  if (vms.isErr()) {
    const message = `VM list: ${vms.error.message}; use --nodes to name the nodes without it`;
    return Err({code: EXIT.unreachable, message});
  }
  const nodes = vms.value.map(vm => ({
    name: vm.name,
    address: vm.address,
    vm,
  }));
  return Ok(nodes.sort((a, b) => a.name.localeCompare(b.name, 'en')));
}

type Command = (
  invocation: Invocation,
) => Promise<Result<ExitCode, InvocationError>>;

async function initCommand({flags, terminal}: Invocation) {
  const {answers, out, force} = flags;
  if (out === undefined) return usageError('init needs --out');
  return Ok(await init({answers, out, force}, terminal));
}

async function checkCommand({input, flags, terminal}: Invocation) {
  const {kind, against} = flags;
  if (input.length === 0) return usageError('check needs at least one path');
  if (kind === undefined) {
    return Ok(await check({paths: input, against}, terminal));
  }
  if (kind !== FILE_KIND.settings && kind !== FILE_KIND.questionnaire) {
    return usageError('--kind must be settings or questionnaire');
  }
  return Ok(await check({paths: input, kind, against}, terminal));
}

async function statusCommand(invocation: Invocation) {
  const {flags, terminal} = invocation;
  const nodes = await resolveNodes(invocation);
  if (nodes.isErr()) return nodes;
  if (nodes.value.length === 0) {
    return flags.vmList === undefined
      ? usageError('status needs --vm-list or --nodes')
      : Err({code: EXIT.unreachable, message: 'the VM list is empty'});
  }
  const listAdapters = flags.adapters;
  return Ok(await status({nodes: nodes.value, listAdapters}, terminal));
}

async function stopCommand({flags, terminal}: Invocation) {
  const {node: address, cancel, wait, waitMs} = flags;
  if (address === undefined) return usageError('stop needs --node');
  return Ok(await stop({address, cancel, wait, waitMs}, terminal));
}

async function drillCommand(invocation: Invocation) {
  const {input, flags, clients, terminal} = invocation;
  if (flags.list) return Ok(listDrills(terminal));
  const [name] = input;
  if (name === undefined) return usageError('drill needs --list or a name');
  const nodes = await resolveNodes(invocation);
  if (nodes.isErr()) return nodes;
  const {callerUrl, key, configService} = flags;
  if ((callerUrl === undefined) !== (key === undefined)) {
    return usageError('--caller-url and --key must be given together');
  }
  const context = {
    nodes: nodes.value,
    node: flags.node,
    access: callerUrl && key ? {url: callerUrl, key} : undefined,
    models: splitList(flags.model),
    configService: configService
      ? clients.configService(configService)
      : undefined,
    revision: flags.revision,
    durationMs: flags.durationMs ?? DEFAULT_DURATION_MS,
    parallel: flags.parallel ?? DEFAULT_PARALLEL_CHATS,
    terminal,
  };
  return Ok(await runDrill(name, context));
}

const COMMANDS: ReadonlyMap<string, Command> = new Map<string, Command>([
  ['init', initCommand],
  ['check', checkCommand],
  ['status', statusCommand],
  ['stop', stopCommand],
  ['drill', drillCommand],
]);

/**
 * Runs the command of the given name. Prints the errors and returns their exit code
 * when it cannot start.
 */
export async function run(
  name: string | undefined,
  invocation: Invocation,
): Promise<ExitCode> {
  const {terminal, flags} = invocation;
  const command = COMMANDS.get(name ?? '');
  const errors =
    command === undefined
      ? [`"${name ?? ''}" is not a command; --help lists them`]
      : flagErrors(flags);
  if (command === undefined || errors.length > 0) {
    errors.forEach(message => terminal.err(message));
    return EXIT.usage;
  }
  const result = await command(invocation);
  if (result.isOk()) return result.value;
  terminal.err(result.error.message);
  return result.error.code;
}
