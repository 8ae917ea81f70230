/** Runs one command with its flags. */
import {KIND, isAddress} from '@balsamnotch/config';
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

/** Chats at once in a drill unless `--parallel` says otherwise. */
const DEFAULT_PARALLEL = 4;

/** Longest wait or observation of a drill, in milliseconds. */
const DEFAULT_DURATION_MS = 30_000;

/** Flags of all commands, as they are given. */
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

/** Clients of outside systems by base URL. */
export interface OutsideSystems {
  vmList(url: string): VMList;
  configService(url: string): ConfigService;
}

/** What a command works with. */
export interface Invocation {
  /** Arguments after the command. */
  readonly input: readonly string[];
  readonly flags: Flags;
  readonly outside: OutsideSystems;
  readonly terminal: Terminal;
}

/** Why a command does not start. */
interface InvocationError {
  readonly code: ExitCode;
  readonly message: string;
}

function usage(message: string): Err<InvocationError> {
  return Err({code: EXIT.usage, message});
}

function split(list: string | undefined): readonly string[] {
  return (list ?? '').split(',').filter(part => part !== '');
}

/** Tells whether a numeric flag is absent or a positive integer. */
function isCount(value: number | undefined): boolean {
  return value === undefined || (Number.isSafeInteger(value) && value > 0);
}

function isHTTP(url: string | undefined): boolean {
  return url === undefined || /^http:\/\/[^\s]+$/.test(url);
}

/** Findings about flags whose form is wrong, whatever the command. */
function flagErrors(flags: Flags): readonly string[] {
  const {waitMs, parallel, revision, durationMs} = flags;
  const counts = {waitMs, parallel, revision, durationMs};
  const {vmList, callerUrl, configService} = flags;
  const urls = {vmList, callerUrl, configService};
  const flagName = (key: string) =>
    `--${key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
  const addresses = [...split(flags.nodes), ...split(flags.node)];
  return [
    ...Object.entries(counts)
      .filter(([, value]) => !isCount(value))
      .map(([key]) => `${flagName(key)} must be a whole number of at least 1`),
    ...Object.entries(urls)
      .filter(([, value]) => !isHTTP(value))
      .map(([key]) => `${flagName(key)} must be an http:// URL`),
    ...addresses
      .filter(address => !isAddress(address))
      .map(address => `"${address}" must be ip:port`),
  ];
}

/** Nodes of `--nodes` or of the VM list; none when neither is given. */
async function nodesOf({
  flags,
  outside,
}: Invocation): Promise<Result<readonly NodeAddress[], InvocationError>> {
  if (flags.vmList === undefined) {
    return Ok(split(flags.nodes).map(address => ({address, name: address})));
  }
  if (flags.nodes !== undefined) {
    return usage('--vm-list and --nodes exclude each other');
  }
  const vms = await outside.vmList(flags.vmList).read();
  if (vms.isErr()) {
    const message = `VM list: ${vms.error.message}; --nodes names nodes without it`;
    return Err({code: EXIT.unreachable, message});
  }
  const nodes = vms.value.map(listed => ({
    name: listed.name,
    address: listed.address,
    listed,
  }));
  return Ok(nodes.sort((a, b) => a.name.localeCompare(b.name, 'en')));
}

type Command = (
  invocation: Invocation,
) => Promise<Result<ExitCode, InvocationError>>;

async function initCommand({flags, terminal}: Invocation) {
  const {answers, out, force} = flags;
  if (out === undefined) return usage('init needs --out');
  return Ok(await init({answers, out, force}, terminal));
}

async function checkCommand({input, flags, terminal}: Invocation) {
  const {kind, against} = flags;
  if (input.length === 0) return usage('check needs at least one path');
  if (kind === undefined) {
    return Ok(await check({paths: input, against}, terminal));
  }
  if (kind !== KIND.settings && kind !== KIND.questionnaire) {
    return usage('--kind must be settings or questionnaire');
  }
  return Ok(await check({paths: input, kind, against}, terminal));
}

async function statusCommand(invocation: Invocation) {
  const {flags, terminal} = invocation;
  const nodes = await nodesOf(invocation);
  if (nodes.isErr()) return nodes;
  if (nodes.value.length === 0) {
    return flags.vmList === undefined
      ? usage('status needs --vm-list or --nodes')
      : Err({code: EXIT.unreachable, message: 'the VM list is empty'});
  }
  const listAdapters = flags.adapters;
  return Ok(await status({nodes: nodes.value, listAdapters}, terminal));
}

async function stopCommand({flags, terminal}: Invocation) {
  const {node: address, cancel, wait, waitMs} = flags;
  if (address === undefined) return usage('stop needs --node');
  return Ok(await stop({address, cancel, wait, waitMs}, terminal));
}

async function drillCommand(invocation: Invocation) {
  const {input, flags, outside, terminal} = invocation;
  if (flags.list) return Ok(listDrills(terminal));
  const [name] = input;
  if (name === undefined) return usage('drill needs --list or a name');
  const nodes = await nodesOf(invocation);
  if (nodes.isErr()) return nodes;
  const {callerUrl, key, configService} = flags;
  if ((callerUrl === undefined) !== (key === undefined)) {
    return usage('--caller-url and --key are needed together');
  }
  const context = {
    nodes: nodes.value,
    node: flags.node,
    access: callerUrl && key ? {url: callerUrl, key} : undefined,
    models: split(flags.model),
    configService: configService
      ? outside.configService(configService)
      : undefined,
    revision: flags.revision,
    durationMs: flags.durationMs ?? DEFAULT_DURATION_MS,
    parallel: flags.parallel ?? DEFAULT_PARALLEL,
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

/** Runs a command; prints why when it does not start. */
export async function run(
  name: string | undefined,
  invocation: Invocation,
): Promise<ExitCode> {
  const {terminal, flags} = invocation;
  const command = COMMANDS.get(name ?? '');
  const wrong =
    command === undefined
      ? [`"${name ?? ''}" is not a command; --help lists them`]
      : flagErrors(flags);
  if (command === undefined || wrong.length > 0) {
    wrong.forEach(message => terminal.err(message));
    return EXIT.usage;
  }
  const result = await command(invocation);
  if (result.isOk()) return result.value;
  terminal.err(result.error.message);
  return result.error.code;
}
