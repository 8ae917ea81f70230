/** Starts a whole deployment as separate processes on loopback. */
import {rmSync} from 'node:fs';
import {mkdtemp, readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  formatFinding,
  generateConfiguration,
  parseQuestionnaire,
  type PublishedConfiguration,
  type Questionnaire,
  type Service,
} from '@balsamnotch/config';
import {killChild} from './child.js';
import {DAEMON, startNode, type NodeHandle, type NodePlan} from './node.js';
import {startStandInProcess, type StandInHandle} from './standin.js';

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  /** Path of the questionnaire from which the configuration is generated. */
  readonly questionnaire: string;
  /** Number of entry nodes; default 2. */
  readonly entries?: number;
  /** Places a relay before each target node; default false. */
  readonly relays?: boolean;
  /** Log level of the nodes; default `info`. */
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /** Control settings of each engine at its start. */
  readonly engine?: object;
  /** Control settings of the weight store; default: the limit that the questionnaire gives. */
  readonly weights?: object;
  /** Path of the daemon program; default: the one of this workspace. */
  readonly daemon?: string;
  /** Waits until the entries are ready; default true. */
  readonly waitReady?: boolean;
}

/** A running deployment. */
export interface Deployment {
  readonly questionnaire: Questionnaire;
  /** The configuration published at the start. */
  readonly published: PublishedConfiguration;
  readonly weights: StandInHandle;
  readonly configService: StandInHandle;
  readonly vmList: StandInHandle;
  readonly entries: readonly NodeHandle[];
  readonly targets: readonly NodeHandle[];
  /** Keys in plain text by caller name. */
  readonly callerKeys: ReadonlyMap<string, string>;
  /** The node of a name. Throws for an unknown name. */
  node(name: string): NodeHandle;
  /** Publishes a configuration, as an operator does. */
  publish(configuration: PublishedConfiguration): Promise<void>;
  /** Lists a node as live or leaving, or removes it from the VM list. */
  list(name: string, state: 'live' | 'leaving' | 'absent'): Promise<void>;
  /** Resolves when the entry answers that it is ready. Rejects after 20 s. */
  untilReady(entry: NodeHandle): Promise<void>;
  /** Ends every process and removes the settings files. */
  close(): Promise<void>;
}

/** Starts stand-ins and nodes, publishes the configuration and waits until the entries are ready. */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const questionnaire = await readQuestionnaire(options.questionnaire);
  const directory = await mkdtemp(join(tmpdir(), 'balsamnotch-'));
  const removeDirectory = () =>
    rmSync(directory, {recursive: true, force: true});
  process.once('exit', removeDirectory);
  const standIns: StandInHandle[] = [];
  const nodes: NodeHandle[] = [];

  async function close(): Promise<void> {
    const children = [
      ...nodes.map(node => node.process()),
      ...standIns.map(standIn => standIn.process),
    ];
    await Promise.all(children.map(killChild));
    await Promise.all(nodes.map(node => node.relay?.close()));
    process.off('exit', removeDirectory);
    removeDirectory();
  }

  async function standIn(...args: Parameters<typeof startStandInProcess>) {
    const handle = await startStandInProcess(...args);
    standIns.push(handle);
    return handle;
  }

  try {
    return await start();
  } catch (error) {
    await close();
    throw error;
  }

  async function start(): Promise<Deployment> {
    const weightsControl = options.weights ?? questionnaire.weightStore;
    const [weights, configService, vmList] = await Promise.all([
      standIn('weights', 'weights', weightsControl),
      standIn('configsvc', 'configsvc'),
      standIn('vmlist', 'vmlist'),
    ]);
    const published = generateConfiguration(questionnaire);
    const publish = async (configuration: PublishedConfiguration) => {
      const {manifest, values} = configuration;
      await configService.set({
        values: {...Object.fromEntries(values), manifest},
      });
    };
    await publish(published);

    const states = new Map<string, 'live' | 'leaving' | 'absent'>();
    let posted: Promise<unknown> = Promise.resolve();
    /** Changes of the list are sent one after another, since each replaces the whole list. */
    const list: Deployment['list'] = (name, state) => {
      states.set(name, state);
      const vms = nodes.flatMap(node => {
        const listed = states.get(node.name) ?? 'absent';
        return listed === 'absent' ? [] : [listedVM(node, listed)];
      });
      const sent = posted.then(() => vmList.set({vms}));
      posted = sent.catch(() => undefined);
      return sent.then(() => undefined);
    };

    const {failureDomains} = questionnaire;
    const startListed = async (
      plan: Pick<NodePlan, 'name' | 'role' | 'service' | 'ordinal' | 'beside'>,
      index: number,
    ): Promise<NodeHandle> => {
      const node = await startNode({
        ...plan,
        failureDomain: failureDomains[index % failureDomains.length] ?? '',
        configService: configService.url,
        vmList: vmList.url,
        logLevel: options.logLevel ?? 'info',
        relay: options.relays === true && plan.role === 'target',
        daemon: options.daemon ?? DAEMON,
        directory,
      });
      nodes.push(node);
      await list(node.name, 'live');
      return node;
    };
    const startTarget = async (service: Service, ordinal: number) => {
      const kind = service.kind === 'model' ? 'engine' : 'plain';
      const name = `${service.name}-${ordinal + 1}`;
      const beside =
        kind === 'engine'
          ? await standIn(kind, `${kind}-${name}`, options.engine, weights.url)
          : await standIn(kind, `${kind}-${name}`);
      const plan = {name, role: 'target', service: service.name} as const;
      return startListed({...plan, ordinal, beside}, ordinal);
    };
    const startEntry = (index: number) =>
      startListed(
        {name: `entry-${index + 1}`, role: 'entry', service: '', ordinal: -1},
        index,
      );
    const targets = await settleAll(
      questionnaire.services.flatMap(service =>
        indexes(service.targets).map(n => startTarget(service, n)),
      ),
    );
    // An entry reads the VM list before it is ready, so it knows every target that is listed first.
    const entries = await settleAll(
      indexes(options.entries ?? 2).map(startEntry),
    );
    if (options.waitReady !== false) await settleAll(entries.map(untilReady));
    return {
      questionnaire,
      published,
      weights,
      configService,
      vmList,
      entries,
      targets,
      callerKeys: new Map(
        questionnaire.callers.flatMap(({name, key}) =>
          key === undefined ? [] : [[name, key] as const],
        ),
      ),
      node(name) {
        const found = nodes.find(node => node.name === name);
        if (found === undefined) throw new Error(`unknown node ${name}`);
        return found;
      },
      publish,
      list,
      untilReady,
      close,
    };
  }
}

async function readQuestionnaire(file: string): Promise<Questionnaire> {
  const parsed = parseQuestionnaire(await readFile(file, 'utf8'), file);
  if (parsed.isOk()) return parsed.value;
  throw new Error(parsed.error.map(formatFinding).join('\n'));
}

function listedVM(node: NodeHandle, state: 'live' | 'leaving') {
  const {name, role, service, listedAddress, failureDomain} = node;
  return {name, role, service, address: listedAddress, failureDomain, state};
}

async function untilReady(entry: NodeHandle): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  let seen = 'no answer';
  while (performance.now() < endMs && entry.process().isRunning()) {
    try {
      const answer = await fetch(`http://${entry.callerAddress}/readyz`);
      seen = `${answer.status} ${await answer.text()}`;
      if (answer.ok) return;
    } catch (error) {
      seen = String(error);
    }
    await sleep(READY_POLL_MS);
  }
  const last = entry.process().lines().slice(-5).join('\n');
  throw new Error(`${entry.name} is not ready: ${seen}\n${last}`);
}

/** Like Promise.all, but waits for all, so that a failed start leaves no process behind. */
async function settleAll<const T extends readonly unknown[]>(
  promises: T,
): Promise<{-readonly [K in keyof T]: Awaited<T[K]>}> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}

function indexes(count: number): readonly number[] {
  return Array.from({length: count}, (_, index) => index);
}
