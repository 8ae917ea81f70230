/** A small deployment on loopback: starts the programs with the commands of the deploy file, and keeps the record. */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {freePort} from './ports.mjs';

/** Root of the repository, in which the programs are started. */
export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Exit codes of a script. */
export const EXIT = {held: 0, broken: 1, notRun: 2};

/** Whether the disruption is left out. */
export const IS_CALM = process.env.TROUBLE === '0';

/** Bounds of sites/emsn-novias.toml, as its pages give them. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_ms: 4000,
  catchup_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  retry_ratio: 0.2,
  budget_window_s: 10,
  retry_slack: 112,
  recovery_s: 12,
  pass_ms: 120,
  again_s: 0,
  fencing_enforced: true,
  lease_ms: 3000,
  thaw_ms: 300,
  ceiling_window_s: 5,
  ceiling_over: 1.1,
  version_ms: 5000,
};

/** Limits for clients, as `fleetbench wire` shows them for the site. */
export const CLIENT_LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

const CONTRACTS = [
  'base',
  'drain',
  'config',
  'cost',
  'retry',
  'recover',
  'fleet',
  'stream',
  'engine',
  'platform',
];

/** Limits of the machines of the site. */
export const LIMITS = {
  front: {
    cpu_share: 0.351,
    cores: 1,
    memory_mb: 272,
    max_fds: 2069,
    link_mbps: 490,
    disk_mb: 0,
  },
  side: {
    cpu_share: 0.54,
    cores: 1,
    memory_mb: 282,
    max_fds: 4096,
    link_mbps: 2000,
    disk_mb: 0,
  },
};

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Polls until `condition` is true; throws after `timeoutMs`. */
export async function until(condition, what, timeoutMs = 15_000) {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`);
    await pause(25);
  }
}

/** Returns the command of a role in deploy/system.toml. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "([^"]*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no command of the role ${role}`);
  return run.split(' ');
}

/** Resolves to the status of a GET; 0 if there is no answer. */
export function statusOf(address, path) {
  return new Promise(resolve => {
    const request = http.get(
      `http://${address}${path}`,
      {agent: false, timeout: 1_000},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
  });
}

/** Creates a deployment without programs; `folder` is that of the case. */
export async function createSite(folder) {
  const recordPath = join(folder, 'record.txt');
  const startedMs = performance.now();
  writeFileSync(recordPath, '');
  const record = line => {
    const seconds = ((performance.now() - startedMs) / 1_000).toFixed(3);
    appendFileSync(recordPath, `${seconds} ${line}\n`);
  };
  const settingsFolder = mkdtempSync(join(tmpdir(), 'balsamnotch-review-'));
  // An own part of the loopback network for each run: the port of the metrics is the same for all nodes.
  const second = 64 + Math.floor(Math.random() * 128);
  const third = Math.floor(Math.random() * 250);
  const ip = n => `127.${second}.${third}.${n}`;
  const nodePort = await freePort(ip(1));
  const children = [];
  const start = async (role, n, storeAddress, {app, service} = {}) => {
    const isEntry = role === 'entry';
    const host = ip(n);
    const name = `${isEntry ? 'front' : 'side'}-poblado-${n}`;
    const ports = {
      front: await freePort(host),
      ready: await freePort(host),
      control: await freePort(host),
    };
    const path = join(settingsFolder, `${name}.json`);
    const settings = {
      node_name: name,
      role,
      machine_class: isEntry ? 'front' : 'side',
      serves: isEntry ? ['front', 'control'] : ['side'],
      ip: host,
      zone: 'poblado',
      region: 'antioquia',
      zones: {poblado: 'antioquia'},
      listen: isEntry
        ? {
            front: `${host}:${ports.front}`,
            ready: `${host}:${ports.ready}`,
            control: `${host}:${ports.control}`,
          }
        : {},
      internal_ports: [nodePort, nodePort + 15],
      seeds: [],
      bootstrap: true,
      counts_as_loss: false,
      limits: isEntry ? LIMITS.front : LIMITS.side,
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: CONTRACTS,
      fault_tolerance: {machines: 2, zones: 0, regions: 0},
      bounds: BOUNDS,
      ...(app === undefined ? {} : {app, service}),
      platform: {
        address: storeAddress,
        form: 'read',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
    };
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...args] = commandOf(role);
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        BALSAMNOTCH_CONFIG: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const node = {name, host, ports, child, ending: undefined, log: ''};
    children.push(node);
    const keep = chunk => {
      node.log = (node.log + chunk.toString()).slice(-20_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      node.ending = signal ?? `exit code ${code}`;
      if (!isClosing) record(`process ${name} has ended: ${node.ending}`);
    });
    record(`process ${name} started`);
    return {
      ...node,
      front: `${host}:${ports.front}`,
      ready: `${host}:${ports.ready}`,
      signal: signal => child.kill(signal),
      ending: () => node.ending,
      log: () => node.log,
    };
  };
  let isClosing = false;
  const close = async () => {
    isClosing = true;
    for (const {child, ending} of children) {
      if (ending === undefined) child.kill('SIGKILL');
    }
    await pause(100);
    rmSync(settingsFolder, {recursive: true, force: true});
  };
  return {ip, record, start, close};
}

/**
 * Runs a case: `play` resolves to whether the rule held. Ends all processes, and the script with the
 * exit code of the result.
 */
export async function runCase(folder, play) {
  const site = await createSite(folder);
  let code = EXIT.notRun;
  const timer = setTimeout(() => {
    site.record('result: could not run, more than 115 s');
    site.close().finally(() => process.exit(EXIT.notRun));
  }, 115_000);
  const giveUp = reason => {
    site.record(`result: could not run: ${reason}`);
    site.close().finally(() => process.exit(EXIT.notRun));
  };
  process.on('uncaughtException', error => giveUp(error.stack));
  // Its processes would outlive a script that is ended from outside.
  process.on('SIGTERM', () => giveUp('SIGTERM'));
  process.on('SIGINT', () => giveUp('SIGINT'));
  try {
    site.record(IS_CALM ? 'without the disruption' : 'with the disruption');
    code = (await play(site)) ? EXIT.held : EXIT.broken;
    const result = code === EXIT.held ? 'the rule held' : 'the rule was broken';
    site.record(`result: ${result}`);
    console.log(result);
  } catch (error) {
    site.record(`result: could not run: ${error.stack}`);
    console.error(error);
  }
  clearTimeout(timer);
  await site.close();
  process.exit(code);
}

/** A route of the configuration. */
export function route(name, kind, service, more = {}) {
  return {
    name,
    host: 'ficu95.example',
    prefix: `/${name}/`,
    kind,
    timeout_ms: 5_000,
    target_latency_ms: 600,
    priority: 0,
    service,
    max_attempts: kind === 'unsafe' ? 1 : 2,
    sticky: kind === 'streaming',
    resumable: kind === 'streaming',
    gap_aim_ms: 400,
    ...more,
  };
}

/** The configuration of the operator. */
export function configuration(version, routes, services) {
  return {version, routes, services, limits: CLIENT_LIMITS};
}
