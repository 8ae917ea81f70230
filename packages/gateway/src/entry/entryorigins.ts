/**
 * Origins of streams at an entry: remembers those that begin here, tells other nodes of them, and
 * finds out where a stream began that a caller takes up.
 */
import {
  ORIGIN_OUTCOME,
  StreamOrigins,
  decideOrigin,
  isDecided,
  keeperOf,
  nodesToAsk,
  type OriginAnswer,
  type OriginDecision,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';
import type {ServiceVersions} from '../node/serviceversions.js';
import type {NodeLink} from './nodelink.js';

/** A stream whose first event has arrived. */
export interface BegunStream {
  /** See `streamKey`. */
  readonly stream: string;
  readonly service: string;
  /** Software version of the server that sent the event. */
  readonly softwareVersion: string;
  /** Id of that server. */
  readonly target: string;
}

/** Exchange with a target node about origins. */
export type OriginLink = Pick<NodeLink, 'isLost' | 'tellBegun' | 'askOrigin'>;

/** Options of {@link EntryOrigins}. */
export interface EntryOriginsOptions {
  readonly context: Pick<GatewayContext, 'clock' | 'metrics'>;
  /** Returns the links to the target nodes beside the servers of a service, by address. */
  readonly linksOf: (service: string) => ReadonlyMap<string, OriginLink>;
  /** Returns the address of the target node beside a target; empty if the target is not listed. */
  readonly nodeBeside: (target: string) => string;
  readonly versions: Pick<ServiceVersions, 'known' | 'windowMs'>;
}

/** A stream of which no other node has been told, with the time of its first event. */
interface UntoldStream extends BegunStream {
  readonly atMs: number;
}

/** Origins of streams, as one entry knows them and finds them out. */
export class EntryOrigins {
  private readonly begun: StreamOrigins;
  /** Streams that began while their service had one version, oldest first, by key. */
  private readonly untold = new Map<string, UntoldStream>();

  constructor(private readonly options: EntryOriginsOptions) {
    const {versions} = options;
    this.begun = new StreamOrigins({maxAgeMs: () => versions.windowMs()});
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.begun.size;
  }

  /**
   * Remembers a stream whose first event is about to be passed on. Another node is told at once, unless
   * the service has had one version only.
   */
  recordBegun(stream: BegunStream): void {
    const {versions} = this.options;
    const nowMs = this.nowMs();
    this.remember(stream);
    if (versions.known(stream.service).kind !== 'only') {
      this.tell(stream);
      return;
    }
    const oldestMs = nowMs - versions.windowMs();
    for (const [key, {atMs}] of this.untold) {
      if (atMs >= oldestMs) break;
      this.untold.delete(key);
    }
    this.untold.set(stream.stream, {...stream, atMs: nowMs});
  }

  /** Remembers a stream without telling other nodes, since they knew of it. */
  remember({
    stream,
    softwareVersion,
  }: Pick<BegunStream, 'stream' | 'softwareVersion'>): void {
    this.begun.recordBegun(stream, softwareVersion, this.nowMs());
  }

  /** Tells other nodes of streams that began before a second version of their service appeared. */
  handleVersions(): void {
    const {versions} = this.options;
    const oldestMs = this.nowMs() - versions.windowMs();
    for (const [key, stream] of this.untold) {
      if (versions.known(stream.service).kind !== 'several') continue;
      this.untold.delete(key);
      if (stream.atMs >= oldestMs) this.tell(stream);
    }
  }

  /**
   * Finds out where a stream began. Asks other nodes unless this entry knows it, or knows that the
   * service has had one version only. An empty key names no stream.
   */
  async find(stream: string, service: string): Promise<OriginDecision> {
    const {versions} = this.options;
    const {known} = ORIGIN_OUTCOME;
    const own = this.begun.find(stream, this.nowMs());
    if (own !== undefined) return {outcome: known, ...own};
    const ownVersions = versions.known(service);
    if (ownVersions.kind === 'only') {
      const {softwareVersion} = ownVersions;
      return {outcome: known, softwareVersion, stage: 'only'};
    }
    if (stream === '') return {outcome: ORIGIN_OUTCOME.unknown};
    const links = this.reachableLinks(service);
    const asked = nodesToAsk(stream, [...links.keys()]).flatMap(
      address => links.get(address) ?? [],
    );
    const answers = await firstAnswers(
      asked.map(link => link.askOrigin(stream, service)),
    );
    return decideOrigin([...answers, {versions: ownVersions}]);
  }

  private tell(begun: BegunStream): void {
    const {stream, service, softwareVersion, target} = begun;
    const links = this.reachableLinks(service);
    const own = this.options.nodeBeside(target);
    const keeper = keeperOf(stream, [...links.keys()], own);
    if (keeper === undefined) return;
    links.get(keeper)?.tellBegun(stream, softwareVersion);
    this.options.context.metrics.count('origin_told');
  }

  private reachableLinks(service: string): ReadonlyMap<string, OriginLink> {
    const links = [...this.options.linksOf(service)];
    return new Map(links.filter(([, link]) => !link.isLost()));
  }

  private nowMs(): number {
    return this.options.context.clock.monotonicMs();
  }
}

/** Resolves to the answers that have come once they decide, or once all have come or failed to. */
function firstAnswers(
  questions: ReadonlyArray<Promise<OriginAnswer | undefined>>,
): Promise<readonly OriginAnswer[]> {
  const answers: OriginAnswer[] = [];
  let waiting = questions.length;
  return new Promise((resolve, reject) => {
    if (waiting === 0) resolve(answers);
    for (const question of questions) {
      question
        .then(answer => {
          waiting -= 1;
          if (answer !== undefined) answers.push(answer);
          if (waiting === 0 || isDecided(answers)) resolve(answers);
        })
        .catch(reject);
    }
  });
}
