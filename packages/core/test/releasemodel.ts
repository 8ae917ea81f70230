/**
 * A model without a network of a release: servers of several software versions replace one another
 * beside target nodes, entries send streams to them, and clients take broken streams up again.
 */
import {
  decideOrigin,
  isDecided,
  nodesToAsk,
  type KnownVersions,
  type OriginAnswer,
} from '../src/index.js';
import {randomOf} from './random.js';
import {
  CONFIRM_MS,
  MAX_TRIES,
  ORIGIN_WAIT_MS,
  RESEND_MS,
  SERVICE,
  WARM_UP_MS,
  candidatesBeside,
  keepersOf,
  WINDOW_MS,
  createProcess,
  emptyOutcome,
  forgetAll,
  randomShare,
  type ModelFault,
  type ModelProcess,
  type ModelServer,
  type ModelStream,
  type ReleaseOutcome,
  type ReleasePlay,
} from './releasesite.js';

/** Plays a release at the load of the site. */
export function playRelease(play: ReleasePlay): ReleaseOutcome {
  const {site, loss = 0, listLagMs = 200, faults = []} = play;
  const {endMs = 40_000, countFromMs = 0} = play;
  const random = randomOf(play.seed);
  const between = (low: number, high: number) => low + (high - low) * random();
  const outcome = emptyOutcome();
  let nowMs = -WARM_UP_MS;
  const due = new Map<number, Array<() => void>>();
  const after = (delayMs: number, run: () => void) => {
    const atMs = Math.floor(nowMs + Math.max(1, delayMs));
    const others = due.get(atMs);
    if (others === undefined) due.set(atMs, [run]);
    else others.push(run);
  };

  const entries = Array.from({length: site.entries}, (_, n) =>
    createProcess(`e${n}`, between(20, listLagMs)),
  );
  const nodes = Array.from({length: site.nodes}, (_, n) =>
    createProcess(`n${n}`, between(20, listLagMs)),
  );
  const all = [...entries, ...nodes];
  const servers: ModelServer[] = [];
  /** Versions listed from a time on. */
  const changes: Array<{atMs: number; versions: ReadonlySet<string>}> = [];
  const running = new Set<ModelStream>();
  /** Nodes for each side of a split, until the next 50 ms. */
  const nodeNames = new Map<string, readonly string[]>();

  const isUp = ({upAtMs}: ModelProcess) => upAtMs <= nowMs;
  const isInTouch = (a: ModelProcess, b: ModelProcess) =>
    a.isCutOff === b.isCutOff;
  const isServing = ({leavingAtMs, listedAtMs}: ModelServer) =>
    listedAtMs <= nowMs && nowMs < leavingAtMs;

  const noteListed = () => {
    const versions = new Set(
      servers.flatMap(({version, listedAtMs, unlistedAtMs}) =>
        listedAtMs <= nowMs && nowMs < unlistedAtMs ? [version] : [],
      ),
    );
    const last = changes.at(-1)?.versions;
    const isSame =
      last?.size === versions.size && [...versions].every(v => last.has(v));
    if (!isSame) changes.push({atMs: nowMs, versions});
  };
  const listServer = (node: ModelProcess, version: string) => {
    servers.push({
      version,
      node,
      listedAtMs: nowMs,
      leavingAtMs: Infinity,
      goneAtMs: Infinity,
      unlistedAtMs: Infinity,
    });
    noteListed();
  };

  /** Brings a process's view of the list up to date, if it is in touch with the list. */
  const follow = (process: ModelProcess) => {
    if (process.isCutOff || !isUp(process)) return;
    for (; process.seen < changes.length; process.seen++) {
      const change = changes[process.seen];
      if (change === undefined || change.atMs + process.lagMs > nowMs) break;
      process.history.update(new Map([[SERVICE, change.versions]]), nowMs);
    }
    process.history.confirm(nowMs);
    process.confirmedAtMs = nowMs;
  };
  /** Tells keepers of the streams that the entry began before it knew of a second version. */
  const tellUntold = (process: ModelProcess) => {
    if (process.untold.length === 0 || !isUp(process)) return;
    if (versionsOf(process).kind === 'only') return;
    for (const {stream, atMs, own} of process.untold) {
      if (nowMs - atMs <= WINDOW_MS) tell(process, stream, own);
    }
    process.untold = [];
  };
  const versionsOf = ({history, confirmedAtMs}: ModelProcess): KnownVersions =>
    history.known(SERVICE, {
      windowMs: WINDOW_MS,
      listAgeMs: nowMs - confirmedAtMs,
      nowMs,
    });
  /** Names of the nodes that entries of one side hold for up: a loss is noticed after 300 ms. */
  const nodesFor = ({isCutOff}: ModelProcess) => {
    const key = `${isCutOff}`;
    const known = nodeNames.get(key);
    if (known !== undefined) return known;
    const names = nodes.flatMap(node =>
      node.isCutOff === isCutOff && (isUp(node) || nowMs - node.downAtMs < 300)
        ? [node.name]
        : [],
    );
    nodeNames.set(key, names);
    return names;
  };
  const nodeOf = (name: string) => nodes[Number(name.slice(1))];
  /** Delivers a message to a process that is up and in touch, unless it is lost. */
  const send = (from: ModelProcess, to: ModelProcess, run: () => void) => {
    const {boot} = to;
    if (random() < loss) return;
    after(between(1, 8), () => {
      if (to.boot === boot && isUp(to) && isInTouch(from, to)) run();
    });
  };

  function tell(entry: ModelProcess, stream: ModelStream, own: string): void {
    const [version = ''] = stream.beganBy;
    const {keepers = 1} = play;
    for (const name of keepersOf(stream.key, nodesFor(entry), own, keepers)) {
      const keeper = nodeOf(name);
      if (keeper === undefined) continue;
      const {key} = stream;
      outcome.tells += 1;
      stream.tells += 1;
      if (changes.length === 1 && nowMs > entry.unsureUntilMs) {
        outcome.calmTells += 1;
      }
      send(entry, keeper, () =>
        keeper.origins.recordBegun(key, version, nowMs),
      );
    }
    outcome.mostTells = Math.max(outcome.mostTells, stream.tells);
  }

  /** A server for a stream that the entry sees, at random; of the version if there is one. */
  const choose = (entry: ModelProcess, key: string, version?: string) => {
    const seenMs = entry.isCutOff ? entry.confirmedAtMs : nowMs - entry.lagMs;
    const seen = servers.filter(
      server =>
        (version ?? server.version) === server.version &&
        server.listedAtMs <= seenMs &&
        seenMs < server.leavingAtMs &&
        isInTouch(entry, server.node),
    );
    let fitting: readonly ModelServer[] = seen;
    if (version === undefined) {
      const settled = seen.filter(server =>
        entry.history.isSettled(SERVICE, server.version, nowMs),
      );
      const waits = settled.length > 0 || play.beginsUnsettled === false;
      if (play.settles !== false && waits) fitting = settled;
      if (play.beginsBeside === true) {
        const asked = nodesToAsk(key, nodesFor(entry));
        fitting = candidatesBeside(asked, fitting, ({node}) => node.name);
      }
    }
    return fitting[Math.floor(random() * fitting.length)];
  };
  const stopWriting = (stream: ModelStream) => {
    stream.remainingMs -= nowMs - Math.min(nowMs, stream.runsSinceMs);
    stream.runsSinceMs = Infinity;
    stream.starts += 1;
    stream.server = undefined;
  };
  /** Counts a take-up that ended, if two servers of the version served until its end. */
  const endTakeUp = (stream: ModelStream, hasGoneOn: boolean) => {
    if (stream.isTakenUp && isCountable(stream)) {
      outcome.takenUp += 1;
      if (hasGoneOn) outcome.wentOn += 1;
    }
    stream.isTakenUp = false;
  };
  const isCountable = ({beganBy}: ModelStream) => {
    const [version] = beganBy;
    const serving = servers.filter(
      server =>
        server.version === version && isServing(server) && isUp(server.node),
    );
    return serving.length >= 2;
  };
  const refuse = (stream: ModelStream, reason: string) => {
    outcome.refusals.set(reason, (outcome.refusals.get(reason) ?? 0) + 1);
    retry(stream);
  };
  /** The client tries again, at another entry, or gives up. */
  function retry(stream: ModelStream): void {
    stream.entry = undefined;
    stopWriting(stream);
    if (stream.tries >= MAX_TRIES) {
      stream.isOver = true;
      running.delete(stream);
      endTakeUp(stream, false);
      return;
    }
    stream.tries += 1;
    after(between(200, 1_000), () => arrive(stream));
  }
  function arrive(stream: ModelStream): void {
    const entry = entries[Math.floor(random() * entries.length)];
    if (entry === undefined || !isUp(entry)) {
      retry(stream);
      return;
    }
    stream.entry = entry;
    follow(entry);
    if (stream.beganBy.size === 0) {
      // Without an event the client begins a new attempt with another id.
      stream.attempts += 1;
      stream.key = `${stream.name}/${stream.attempts}`;
      attempt(stream, 1);
      return;
    }
    takeUp(stream, entry);
  }
  /** Whether the entry still works on the stream. */
  const isWith = (stream: ModelStream, entry: ModelProcess, boot: number) =>
    !stream.isOver && stream.entry === entry && entry.boot === boot;

  function takeUp(stream: ModelStream, entry: ModelProcess): void {
    const {boot} = entry;
    const own = entry.origins.find(stream.key, nowMs);
    if (own !== undefined) {
      stream.decidedBy = `own ${own.stage}`;
      attempt(stream, 1, own.softwareVersion);
      return;
    }
    const versions = versionsOf(entry);
    if (versions.kind === 'only') {
      stream.decidedBy = 'own only';
      attempt(stream, 1, versions.softwareVersion);
      return;
    }
    const asked = nodesToAsk(stream.key, nodesFor(entry));
    outcome.mostQuestions = Math.max(outcome.mostQuestions, asked.length);
    // What the entry knows itself counts as an answer.
    const answers: OriginAnswer[] = [{versions}];
    const answered = new Set<string>();
    let isDone = false;
    const decide = () => {
      if (isDone || !isWith(stream, entry, boot)) return;
      isDone = true;
      const decision = decideOrigin(answers);
      if (decision.outcome !== 'known') {
        refuse(stream, decision.outcome);
        return;
      }
      stream.decidedBy = decision.stage;
      entry.origins.recordBegun(stream.key, decision.softwareVersion, nowMs);
      attempt(stream, 1, decision.softwareVersion);
    };
    const ask = (name: string, sentMs: number) => {
      const node = nodeOf(name);
      if (isDone || answered.has(name) || node === undefined) return;
      send(entry, node, () => {
        follow(node);
        const origin = node.origins.find(stream.key, nowMs);
        const answer = {origin, versions: versionsOf(node)};
        send(node, entry, () => {
          if (answered.has(name)) return;
          answered.add(name);
          answers.push(answer);
          if (isDecided(answers) || answered.size === asked.length) decide();
        });
      });
      if (sentMs + RESEND_MS < ORIGIN_WAIT_MS) {
        after(RESEND_MS, () => ask(name, sentMs + RESEND_MS));
      }
    };
    for (const name of asked) ask(name, 0);
    after(ORIGIN_WAIT_MS, decide);
  }

  function attempt(
    stream: ModelStream,
    number: number,
    version?: string,
  ): void {
    const {entry} = stream;
    if (entry === undefined) return;
    const {boot} = entry;
    const server = choose(entry, stream.key, version);
    if (server === undefined || number > MAX_TRIES) {
      refuse(stream, version === undefined ? 'no server' : 'none of version');
      return;
    }
    const {node} = server;
    stream.server = server;
    const isStill = () =>
      isWith(stream, entry, boot) && stream.server === server;
    const {key} = stream;
    const release = () =>
      send(entry, node, () => node.origins.forgetGranted(key, server.version));
    // The lease is granted by the node before the request is sent.
    if (!isUp(node)) {
      after(300, () => {
        if (isStill()) attempt(stream, number + 1, version);
      });
      return;
    }
    node.origins.recordGranted(stream.key, server.version, nowMs);
    const repeatVersion =
      play.keepsVersion === false ? version : server.version;
    after(between(40, 300), () => {
      if (!isStill()) {
        if (entry.boot === boot) release();
        return;
      }
      if (nowMs >= server.goneAtMs || !isInTouch(entry, node)) {
        release();
        attempt(stream, number + 1, repeatVersion);
        return;
      }
      const isFirst = stream.beganBy.size === 0;
      stream.beganBy.add(server.version);
      if (stream.beganBy.size > 1) {
        const versions = [...stream.beganBy].join('+');
        outcome.mixes.push(`${nowMs} ms ${versions} by ${stream.decidedBy}`);
      }
      entry.origins.recordBegun(stream.key, server.version, nowMs);
      if (isFirst) {
        if (stream.isCounted) outcome.begun += 1;
        follow(entry);
        if (versionsOf(entry).kind !== 'only') tell(entry, stream, node.name);
        else entry.untold.push({stream, atMs: nowMs, own: node.name});
      }
      endTakeUp(stream, true);
      stream.starts += 1;
      stream.runsSinceMs = nowMs;
      const {starts} = stream;
      after(stream.remainingMs, () => {
        if (stream.starts !== starts || stream.isOver) return;
        stream.isOver = true;
        running.delete(stream);
        send(entry, node, () =>
          node.origins.recordBegun(key, server.version, nowMs),
        );
      });
    });
  }

  /** An entry or the way to it is lost: the client comes back, at another entry. */
  const breakOff = (stream: ModelStream) => {
    stream.tries = 0;
    if (stream.beganBy.size === 0) {
      retry(stream);
      return;
    }
    outcome.allTakenUp += 1;
    stream.isTakenUp = nowMs >= countFromMs && isCountable(stream);
    retry(stream);
  };
  /** The server is lost: the entry takes the stream up itself. */
  const loseServer = (stream: ModelStream) => {
    const {entry} = stream;
    if (entry === undefined) return;
    const {server} = stream;
    stopWriting(stream);
    const version = play.keepsVersion === false ? undefined : server?.version;
    if (stream.beganBy.size === 0) attempt(stream, 1, version);
    else takeUp(stream, entry);
  };
  const killProcess = (process: ModelProcess) => {
    process.boot += 1;
    process.downAtMs = nowMs;
    process.upAtMs = nowMs + between(500, 2_000);
    process.unsureUntilMs = process.upAtMs + WINDOW_MS + CONFIRM_MS;
    forgetAll(process);
    // A process that has started reads the list of the present.
    process.seen = Math.max(0, changes.length - 1);
    for (const stream of [...running]) {
      if (stream.entry === process) breakOff(stream);
    }
  };
  const endServer = (server: ModelServer, unlistedAtMs: number) => {
    server.leavingAtMs = Math.min(server.leavingAtMs, nowMs);
    server.goneAtMs = nowMs;
    server.unlistedAtMs = unlistedAtMs;
    after(unlistedAtMs - nowMs + 1, noteListed);
    after(unlistedAtMs - nowMs + 5_000, () =>
      servers.splice(servers.indexOf(server), 1),
    );
    for (const stream of [...running]) {
      if (stream.server !== server) continue;
      after(20, () => {
        if (stream.server === server && !stream.isOver) loseServer(stream);
      });
    }
  };
  let newest = 1;
  const shareOf = <T>(items: readonly T[], share = 0) =>
    randomShare(items, share, random);
  const apply = (fault: ModelFault) => {
    if (fault.kind === 'kill') {
      // First all processes, so that nothing is asked of those that are killed at the same time.
      const killed = [
        ...shareOf(entries, fault.entries),
        ...shareOf(nodes, fault.nodes),
      ];
      for (const process of killed) killProcess(process);
      for (const server of shareOf(servers.filter(isServing), fault.servers)) {
        endServer(server, nowMs + 2_000);
        const version = random() < 0.5 ? server.version : `v${newest}`;
        after(between(1_000, 3_000), () => listServer(server.node, version));
      }
    } else if (fault.kind === 'roll') {
      for (const [n, entry] of entries.entries()) {
        after(1 + n * fault.eachMs, () => killProcess(entry));
      }
    } else {
      const cutOff = [
        ...shareOf(entries, fault.entries),
        ...shareOf(nodes, fault.nodes),
      ];
      for (const process of cutOff) {
        process.isCutOff = true;
        process.unsureUntilMs = Infinity;
      }
      for (const stream of [...running]) {
        const {entry, server} = stream;
        if (entry === undefined || server === undefined) continue;
        if (!isInTouch(entry, server.node)) loseServer(stream);
      }
      nodeNames.clear();
      after(fault.forMs, () => {
        for (const process of all) {
          if (!process.isCutOff) continue;
          process.isCutOff = false;
          process.unsureUntilMs = nowMs + WINDOW_MS + CONFIRM_MS;
        }
      });
    }
  };

  for (const node of nodes) listServer(node, 'v1');
  for (const fault of faults) {
    after(fault.atMs - nowMs, () => apply(fault));
  }
  for (const [n, releaseMs] of play.releasesMs.entries()) {
    const version = `v${n + 2}`;
    after(releaseMs - nowMs, () => (newest = n + 2));
    for (const [k, node] of nodes.entries()) {
      const startMs = releaseMs + (k * play.releaseForMs) / nodes.length;
      after(startMs - nowMs, () => {
        const old = servers.filter(s => s.node === node && isServing(s));
        listServer(node, version);
        for (const server of old) server.leavingAtMs = nowMs + 100;
        after(2_000, () => {
          for (const server of old) {
            if (nowMs < server.goneAtMs) endServer(server, nowMs);
          }
        });
      });
    }
  }
  let arrivals = 0;
  for (; nowMs < endMs; nowMs++) {
    for (const run of due.get(nowMs) ?? []) run();
    due.delete(nowMs);
    if (nowMs % 50 === 0) nodeNames.clear();
    if (nowMs % CONFIRM_MS === 0) {
      for (const process of all) {
        follow(process);
        tellUntold(process);
        const {size} = process.origins;
        outcome.mostRecords = Math.max(outcome.mostRecords, size);
      }
    }
    for (; arrivals < ((nowMs + WARM_UP_MS) * site.streamsPerS) / 1_000;) {
      arrivals += 1;
      if (nowMs < 0) continue;
      const isCounted = nowMs >= countFromMs;
      if (isCounted) outcome.started += 1;
      const stream: ModelStream = {
        name: `s${play.seed}/${arrivals}`,
        key: '',
        remainingMs: Math.min(4_800, -1_300 * Math.log(1 - random())),
        runsSinceMs: Infinity,
        starts: 0,
        beganBy: new Set(),
        tries: 1,
        attempts: 0,
        tells: 0,
        entry: undefined,
        server: undefined,
        isTakenUp: false,
        isCounted,
        isOver: false,
        decidedBy: '',
      };
      running.add(stream);
      arrive(stream);
    }
  }
  return outcome;
}
