/** Starts a deployment as separate processes on the loopback interface. */
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
import {
  DAEMON_FILE,
  startNode,
  type NodeHandle,
  type NodeOptions,
} from './node.js';
import {startStandInProcess, type StandInHandle} from './standin.js';

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 50;

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  /** Path of the questionnaire from which the configuration is generated. */
  readonly questionnaireFile: string;
  /** Number of entry nodes; default 2. */
  readonly entryCount?: number;
  /** Puts a relay in front of each target node; default false. */
  readonly hasRelays?: boolean;
  /** Log level of the nodes; default `info`. */
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /** Initial control settings of each engine. */
  readonly engineControl?: object;
  /** Initial control settings of the weight store; default: the limits in the questionnaire. */
  readonly weightStoreControl?: object;
  /** Path of the daemon program; default: the one in this workspace. */
  readonly daemonFile?: string;
  /** Waits for the entries to be ready before resolving; default true. */
  readonly waitReady?: boolean;
}

/** A running deployment. */
export interface Deployment {
  readonly questionnaire: Questionnaire;
  /** The configuration that was published at the start. */
  readonly initialConfiguration: PublishedConfiguration;
  readonly weightStore: StandInHandle;
  readonly configService: StandInHandle;
  readonly vmList: StandInHandle;
  readonly entries: readonly NodeHandle[];
  readonly targets: readonly NodeHandle[];
  /** Plain-text keys by caller name. */
  readonly callerKeys: ReadonlyMap<string, string>;
  /** Returns the node with this name. Throws if there is none. */
  findNode(name: string): NodeHandle;
  /** Publishes a configuration through the configuration service, as an operator does. */
  publish(configuration: PublishedConfiguration): Promise<void>;
  /** Lists a node as live or leaving, or removes it from the VM list. */
  setListedState(
    name: string,
    state: 'live' | 'leaving' | 'absent',
  ): Promise<void>;
  /** Resolves once the entry reports that it is ready. Rejects after 20 s or if the entry exits. */
  awaitReady(entry: NodeHandle): Promise<void>;
  /** Kills all processes and removes the settings files. */
  close(): Promise<void>;
}

/**
 * Starts stand-ins and nodes, publishes the configuration and waits until the entries are ready.
 * If a process fails to start, kills the others and rejects.
 */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const questionnaire = await readQuestionnaire(options.questionnaireFile);
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

  async function startStandIn(...args: Parameters<typeof startStandInProcess>) {
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
    const weightStoreControl =
      options.weightStoreControl ?? questionnaire.weightStore;
    const [weightStore, configService, vmList] = await Promise.all([
      startStandIn('weights', 'weights', weightStoreControl),
      startStandIn('configsvc', 'configsvc'),
      startStandIn('vmlist', 'vmlist'),
    ]);
    const initialConfiguration = generateConfiguration(questionnaire);
    const publish = async (configuration: PublishedConfiguration) => {
      const {manifest, values} = configuration;
      await configService.set({
        values: {...Object.fromEntries(values), manifest},
      });
    };
    await publish(initialConfiguration);

    const listedStates = new Map<string, 'live' | 'leaving' | 'absent'>();
    let lastUpdate: Promise<unknown> = Promise.resolve();
    // Updates are sent one after another because each replaces the whole list.
    const setListedState: Deployment['setListedState'] = (name, state) => {
      listedStates.set(name, state);
      const vms = nodes.flatMap(node => {
        const listedState = listedStates.get(node.name) ?? 'absent';
        return listedState === 'absent' ? [] : [listedVM(node, listedState)];
      });
      const update = lastUpdate.then(() => vmList.set({vms}));
      lastUpdate = update.catch(() => undefined);
      return update.then(() => undefined);
    };

    const {failureDomains} = questionnaire;
    const startListedNode = async (
      plan: Pick<
        NodeOptions,
        'name' | 'role' | 'service' | 'ordinal' | 'standIn'
      >,
      index: number,
    ): Promise<NodeHandle> => {
      const node = await startNode({
        ...plan,
        failureDomain: failureDomains[index % failureDomains.length] ?? '',
        configService: configService.url,
        vmList: vmList.url,
        logLevel: options.logLevel ?? 'info',
        hasRelay: options.hasRelays === true && plan.role === 'target',
        daemonFile: options.daemonFile ?? DAEMON_FILE,
        directory,
      });
      nodes.push(node);
      await setListedState(node.name, 'live');
      return node;
    };
    const startTarget = async (service: Service, ordinal: number) => {
      const kind = service.kind === 'model' ? 'engine' : 'plain';
      const name = `${service.name}-${ordinal + 1}`;
      const standIn =
        kind === 'engine'
          ? await startStandIn(
              kind,
              `${kind}-${name}`,
              options.engineControl,
              weightStore.url,
            )
          : await startStandIn(kind, `${kind}-${name}`);
      const plan = {name, role: 'target', service: service.name} as const;
      return startListedNode({...plan, ordinal, standIn}, ordinal);
    };
    const startEntry = (index: number) =>
      startListedNode(
        {name: `entry-${index + 1}`, role: 'entry', service: '', ordinal: -1},
        index,
      );
    const targets = await waitForAll(
      questionnaire.services.flatMap(service =>
        indexRange(service.targets).map(n => startTarget(service, n)),
      ),
    );
    // An entry reads the VM list before it becomes ready. Starting the targets first ensures that it
    // knows all of them.
    const entries = await waitForAll(
      indexRange(options.entryCount ?? 2).map(startEntry),
    );
    if (options.waitReady !== false) await waitForAll(entries.map(awaitReady));
    return {
      questionnaire,
      initialConfiguration,
      weightStore,
      configService,
      vmList,
      entries,
      targets,
      callerKeys: new Map(
        questionnaire.callers.flatMap(({name, key}) =>
          key === undefined ? [] : [[name, key] as const],
        ),
      ),
      findNode(name) {
        const found = nodes.find(node => node.name === name);
        if (found === undefined) throw new Error(`unknown node ${name}`);
        return found;
      },
      publish,
      setListedState,
      awaitReady,
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

async function awaitReady(entry: NodeHandle): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  let lastResult = 'no answer';
  while (performance.now() < endMs && entry.process().isRunning()) {
    try {
      const answer = await fetch(`http://${entry.callerAddress}/readyz`);
      lastResult = `${answer.status} ${await answer.text()}`;
      if (answer.ok) return;
    } catch (error) {
      lastResult = String(error);
    }
    await sleep(READY_POLL_INTERVAL_MS);
  }
  const lastLines = entry.process().lines().slice(-5).join('\n');
  throw new Error(`${entry.name} is not ready: ${lastResult}\n${lastLines}`);
}

/**
 * Like `Promise.all`, but rejects only after all promises have settled. Otherwise a process whose
 * start is still pending when another start fails would be left running.
 */
async function waitForAll<const T extends readonly unknown[]>(
  promises: T,
): Promise<{-readonly [K in keyof T]: Awaited<T[K]>}> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}

function indexRange(count: number): readonly number[] {
  return Array.from({length: count}, (_, index) => index);
}
