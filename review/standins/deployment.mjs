/**
 * Starts a small deployment on loopback for a review case: a stand-in for the platform's store,
 * and the programs of the deploy file as separate processes.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {startStore} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The commands of `deploy/system.toml`. */
const COMMAND = ['--max-old-space-size=160', 'target/balsamnotch.mjs'];

/**
 * Holds a process to a share of a core, as the pages say of an allotment: the core runs at full
 * speed until the share of each tenth of a second is used up, and then not at all for the rest.
 * Returns a function that ends this.
 */
export function holdToShare(child, share) {
  const PERIOD_MS = 100;
  const CHECK_MS = 4;
  const file = `/proc/${child.pid}/schedstat`;
  const usedMs = () => Number(readFileSync(file, 'utf8').split(' ')[0]) / 1e6;
  let endsAtMs = 0;
  let baseMs = 0;
  let isStopped = false;
  const check = () => {
    if (child.exitCode !== null || child.signalCode !== null)
      return clearInterval(timer);
    const nowMs = performance.now();
    const used = usedMs();
    if (nowMs >= endsAtMs) {
      // What a check found too late is taken off the next share.
      baseMs = Math.max(used - share * PERIOD_MS, baseMs + share * PERIOD_MS);
      if (endsAtMs === 0 || used < baseMs) baseMs = used;
      endsAtMs = nowMs + PERIOD_MS;
      if (isStopped) child.kill('SIGCONT');
      isStopped = false;
    }
    if (isStopped || used - baseMs < share * PERIOD_MS) return;
    child.kill('SIGSTOP');
    isStopped = true;
  };
  const timer = setInterval(check, CHECK_MS);
  return () => {
    clearInterval(timer);
    if (isStopped) child.kill('SIGCONT');
  };
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Resolves to a port that is free on all addresses. */
export async function freePort() {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const server = net.createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, '0.0.0.0', () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

/** Polls until the condition resolves to true; throws after `timeoutMs`. */
export async function waitUntil(condition, what, timeoutMs = 15_000) {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`timeout: ${what}`);
    await sleep(25);
  }
}

/** Returns the record of a case; its lines begin with the milliseconds since the start. */
export function openRecord(file) {
  const startedAtMs = performance.now();
  writeFileSync(file, '');
  return (event, fields = {}) => {
    const ms = (performance.now() - startedAtMs).toFixed(0).padStart(6);
    const words = Object.entries(fields).map(
      ([key, value]) => `${key}=${value}`,
    );
    appendFileSync(file, `${ms} ${[event, ...words].join(' ')}\n`);
  };
}

/** Bounds of the site `emsn-novias`, as its settings state them. */
const BOUNDS = {
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
  fencing_enforced: true,
  lease_ms: 3000,
  thaw_ms: 300,
  version_ms: 5000,
};

/**
 * Creates a deployment without processes. Each machine has a loopback address of its own, so
 * that all use the same ports, as on the platform.
 */
export async function createDeployment(record) {
  const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
  const children = new Set();
  const closers = [];
  const [front, ready, control, internal] = [
    await freePort(),
    await freePort(),
    await freePort(),
    await freePort(),
  ];
  const net2 = 1 + Math.floor(Math.random() * 250);
  const net3 = 1 + Math.floor(Math.random() * 250);
  /** Loopback address of the machine with the given number. */
  const ipOf = n => `127.${net2}.${net3}.${n}`;
  const store = await startStore(ipOf(200));
  closers.push(store.close);

  const start = (role, name, settings) => {
    const file = path.join(directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [...COMMAND, role], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BALSAMNOTCH_CONFIG: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(child);
    let log = '';
    for (const output of [child.stdout, child.stderr]) {
      output.on('data', data => {
        log += data;
      });
    }
    const ended = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        children.delete(child);
        record('process ended', {name, code, signal});
        resolve();
      });
    });
    record('process started', {name, role});
    return {
      role,
      name,
      child,
      settings,
      ended,
      log: () => log,
      signal: signal => {
        record('signal', {name, signal});
        child.kill(signal);
      },
    };
  };
  const common = (name, ip) => ({
    node_name: name,
    ip,
    zone: 'poblado',
    region: 'antioquia',
    zones: {poblado: 'antioquia'},
    internal_ports: [internal, internal + 15],
    seeds: [`${ipOf(1)}:${control}`],
    bootstrap: true,
    counts_as_loss: false,
    limits: {
      cpu_share: 0.351,
      cores: 1,
      memory_mb: 272,
      max_fds: 2069,
      link_mbps: 490,
      disk_mb: 0,
    },
    data_dir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeat_ms: 1200,
    contracts: [
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
    ],
    fault_tolerance: {machines: 2, zones: 0, regions: 0},
    bounds: BOUNDS,
    platform: {
      address: store.address,
      form: 'read',
      writes_per_s: 400,
      reads_per_s: 2000,
      history_s: 20,
      value_bytes: 1048576,
      ttl_min_ms: 1000,
    },
  });
  return {
    store,
    ipOf,
    closers,
    /** Starts the process of a `front` machine; resolves once its readiness check succeeds. */
    startEntry: async (n, timeoutMs) => {
      const ip = ipOf(n);
      const name = `front-${n}`;
      const entry = start('entry', name, {
        ...common(name, ip),
        role: 'entry',
        machine_class: 'front',
        serves: ['front', 'control'],
        listen: {
          front: `${ip}:${front}`,
          ready: `${ip}:${ready}`,
          control: `${ip}:${control}`,
        },
      });
      await waitUntil(
        async () =>
          (
            await fetch(`http://${ip}:${ready}/readiness`).catch(
              () => undefined,
            )
          )?.status === 200,
        `${name} is ready`,
        timeoutMs,
      );
      return Object.assign(entry, {host: ip, port: front, readyPort: ready});
    },
    /** Starts the process of a machine again, with the settings that it had. */
    restart: stopped =>
      Object.assign(start(stopped.role, stopped.name, stopped.settings), {
        host: stopped.host,
        port: stopped.port,
        readyPort: stopped.readyPort,
      }),
    /** Starts the process beside a model server at `app`. */
    startTarget: (n, app, service) => {
      const name = `side-${n}`;
      return start('target', name, {
        ...common(name, ipOf(n)),
        role: 'target',
        machine_class: 'side',
        serves: ['side'],
        listen: {},
        app,
        service,
      });
    },
    close: async () => {
      for (const child of children) child.kill('SIGKILL');
      for (const close of closers.reverse()) await close();
      rmSync(directory, {recursive: true, force: true});
    },
  };
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `run` resolves to the violations of the rule, one text each.
 */
export async function runCase(folder, run) {
  const record = openRecord(path.join(fileURLToPath(folder), 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  record('case', {trouble: hasTrouble ? 1 : 0});
  let code = 2;
  let deployment;
  const timer = setTimeout(() => {
    record('the case took too long');
    deployment?.close().finally(() => process.exit(2));
  }, 110_000);
  try {
    deployment = await createDeployment(record);
    const violations = await run({deployment, record, hasTrouble});
    for (const violation of violations) record('violation', {of: violation});
    code = violations.length > 0 ? 1 : 0;
  } catch (error) {
    record('could not run', {error: error.stack});
  }
  clearTimeout(timer);
  await deployment?.close();
  record('exit', {code});
  console.log(`exit ${code}`);
  process.exit(code);
}
