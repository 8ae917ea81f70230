/**
 * Configuration controller: fetches revisions from the configuration service and
 * from peers, and puts the newest valid one in force.
 */
import {BehaviorSubject} from 'rxjs';
import {create} from '@bufbuild/protobuf';
import {
  assembleConfiguration,
  contentHash,
  publishedName,
  type Configuration,
} from '@balsamnotch/config';
import {
  ADOPTION,
  adoption,
  exchangePeers,
  isWatcher,
  startupPeers,
  type RevisionIdentity,
} from '@balsamnotch/core';
import type {VM} from '@balsamnotch/systems';
import {RevisionRequestSchema, type RevisionResponse} from '@balsamnotch/wire';
import type {ConfigurationSource, NodeContext} from './context.js';
import {listedValues, revisionOf} from './manifest.js';
import {
  PEER_TIMEOUT_MS,
  ClientsByAddress,
  connectPeer,
  fetchTexts,
} from './peers.js';

/** Name of the manifest in the configuration service. */
const MANIFEST = 'manifest';

/**
 * Limits of one watch request to the configuration service, in milliseconds.
 * On a connection that has gone silent, a change stays unnoticed for up to the
 * sum of both. A change must be in force on all nodes within 9 s, and the
 * exchange among nodes takes about half of that time.
 */
const WATCH_LIMITS = {waitMs: 2_500, answerMs: 1_000};

/** Delay before the next read after a failed or incomplete one, in milliseconds. */
const RETRY_MS = 500;
/** Delay between reads of the manifest on a node that is not a watcher, in milliseconds. */
const UNWATCHED_READ_MS = 60_000;

/** Mean interval between revision exchanges, each with one peer, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 1_000;

/** How long a newly started node waits for the VM list before it continues without peers, in milliseconds. */
const VM_LIST_WAIT_MS = 3_000;

/** A published manifest that has not been validated yet. */
interface Offer {
  readonly identity: RevisionIdentity;
  readonly manifest: string;
}

/** The configuration in force and the time at which it came into force. */
interface ConfigurationInForce {
  readonly identity: RevisionIdentity;
  readonly configuration: Configuration;
  /** Reading of the monotonic clock, in milliseconds. */
  readonly sinceMs: number;
}

/** Dependencies of the configuration controller. */
export type ConfigurationContext = Pick<
  NodeContext,
  'settings' | 'clock' | 'random' | 'log' | 'metrics' | 'configService'
> & {
  /** VMs from the latest successful read of the list; empty before the first. */
  readonly vms: () => readonly VM[];
};

/** Configuration source of one node, which also serves its configuration to peers. */
export class ConfigurationController implements ConfigurationSource {
  readonly configuration$ = new BehaviorSubject<Configuration | undefined>(
    undefined,
  );
  private inForce: ConfigurationInForce | undefined;
  /** Manifest and values of the configuration in force, by content hash. */
  private textsByHash = new Map<string, string>();
  private readonly peers = new ClientsByAddress(connectPeer);
  /** Content hashes of manifests that failed validation; they are not tried again. */
  private readonly rejectedHashes = new Set<string>();
  /** Settles when all offers made so far have been processed. */
  private pendingOffers: Promise<void> = Promise.resolve();
  private hasAskedStartupPeers = false;
  private isClosed = false;
  private nextPeerIndex = 0;

  constructor(private readonly context: ConfigurationContext) {}

  current(): Configuration | undefined {
    return this.inForce?.configuration;
  }

  revision(): number {
    return this.inForce?.identity.revision ?? 0;
  }

  identity(): RevisionIdentity | undefined {
    return this.inForce?.identity;
  }

  /** Returns the time since the revision came into force on this node, in milliseconds; 0 before the first. */
  ageMs(): number {
    if (this.inForce === undefined) return 0;
    return this.context.clock.monotonicMs() - this.inForce.sinceMs;
  }

  isReady(): boolean {
    return this.hasAskedStartupPeers && this.inForce !== undefined;
  }

  /** Returns the manifest or value with the given content hash, if it belongs to the configuration in force. */
  textByHash(hash: string): string | undefined {
    return this.textsByHash.get(hash);
  }

  /** Starts the background loops, which run until {@link close} is called. */
  start(): void {
    void this.watchLoop();
    void this.exchangeLoop();
    void this.askStartupPeers();
  }

  close(): void {
    this.isClosed = true;
  }

  async catchUp(revision: number, peer: string): Promise<boolean> {
    if (this.revision() >= revision) return true;
    const address = this.addressOf(peer);
    const reads = [this.readManifest()];
    if (address !== undefined) reads.push(this.exchange(address));
    await Promise.all(reads);
    return this.revision() >= revision;
  }

  /**
   * Returns the address of a peer that is given by its VM name or as `ip:port`; undefined
   * for any other text.
   */
  private addressOf(peer: string): string | undefined {
    const vm = this.context.vms().find(({name}) => name === peer);
    if (vm !== undefined) return vm.address;
    return /:\d+$/.test(peer) ? peer : undefined;
  }

  private async watchLoop(): Promise<void> {
    let version = 0;
    while (!this.isClosed) {
      if (!this.isWatcher() && this.inForce !== undefined) {
        await this.sleep(UNWATCHED_READ_MS);
      }
      const result = await this.context.configService.watch(
        MANIFEST,
        version,
        WATCH_LIMITS,
      );
      if (result.isErr()) {
        this.context.metrics.count('config_read_failed', result.error.kind);
        await this.sleep(RETRY_MS);
      } else if (result.value !== undefined) {
        const isComplete = await this.offer(
          result.value.content,
          result.value.version,
        );
        // An incomplete revision is read again, because its values may be published later.
        if (isComplete) version = result.value.version;
        else await this.sleep(RETRY_MS);
      }
    }
  }

  private isWatcher(): boolean {
    const {name, failureDomain} = this.context.settings;
    return isWatcher({name, failureDomain}, this.context.vms());
  }

  private async readManifest(): Promise<void> {
    const result = await this.context.configService.read(MANIFEST);
    if (result.isOk()) {
      await this.offer(result.value.content, result.value.version);
    }
  }

  private async exchangeLoop(): Promise<void> {
    while (!this.isClosed) {
      // Jitter of ±25% prevents nodes that started together from asking at the same time.
      await this.sleep(
        EXCHANGE_INTERVAL_MS * (0.75 + this.context.random() / 2),
      );
      const vms = this.context.vms();
      this.peers.retain(new Set(vms.map(vm => vm.address)));
      const candidates = exchangePeers(this.context.settings.name, vms);
      const peer =
        candidates[this.nextPeerIndex++ % Math.max(1, candidates.length)];
      if (peer !== undefined) await this.exchange(peer.address);
    }
  }

  /**
   * Asks peers for a newer revision before this node becomes ready, because the
   * configuration service may have returned a stale copy. These peers are
   * asked concurrently, so the wait is no longer than the slowest exchange.
   */
  private async askStartupPeers(): Promise<void> {
    const startedMs = this.context.clock.monotonicMs();
    const elapsedMs = () => this.context.clock.monotonicMs() - startedMs;
    while (this.context.vms().length === 0 && elapsedMs() < VM_LIST_WAIT_MS) {
      await this.sleep(PEER_TIMEOUT_MS / 10);
    }
    const peersToAsk = startupPeers(
      this.context.settings.name,
      this.context.vms(),
    );
    await Promise.all(peersToAsk.map(peer => this.exchange(peer.address)));
    this.hasAskedStartupPeers = true;
  }

  /** Asks a peer for its revision, and fetches the contents if that revision is to be adopted. */
  private async exchange(address: string): Promise<void> {
    try {
      const peer = this.peers.get(address);
      const response = await peer.revision(
        create(RevisionRequestSchema, {
          sender: this.context.settings.name,
          revision: BigInt(this.revision()),
          hash: this.inForce?.identity.hash ?? '',
        }),
        {timeoutMs: PEER_TIMEOUT_MS},
      );
      if (response.hash !== '') await this.adoptFromPeer(address, response);
    } catch (error) {
      this.context.metrics.count('config_exchange_failed');
      this.context.log.debug('config_exchange_failed', {
        peer: address,
        error: String(error),
      });
    }
  }

  private async adoptFromPeer(
    address: string,
    response: RevisionResponse,
  ): Promise<void> {
    const identity = {
      revision: Number(response.revision),
      hash: response.hash,
      version: Number(response.version),
    };
    if (adoption(this.inForce?.identity, identity) !== ADOPTION.adopt) return;
    const [manifest] = await this.fetchFromPeer(address, [identity.hash]);
    if (manifest === undefined) return;
    await this.offer(manifest, identity.version, address);
  }

  /** Returns the texts that the peer sends, limited to those whose content matches a requested hash. */
  private async fetchFromPeer(
    address: string,
    hashes: readonly string[],
  ): Promise<readonly string[]> {
    const texts = await fetchTexts(this.peers.get(address), hashes);
    const requested = texts.filter(text => hashes.includes(contentHash(text)));
    if (requested.length < texts.length) {
      this.context.metrics.count('config_content_mismatch');
    }
    return requested;
  }

  /**
   * Processes an offered manifest after all earlier offers. Resolves to false
   * when values are missing and the manifest should be offered again.
   */
  private offer(
    manifest: string,
    version: number,
    peerAddress?: string,
  ): Promise<boolean> {
    const processed = this.pendingOffers.then(() =>
      this.processOffer(manifest, version, peerAddress),
    );
    this.pendingOffers = processed.then(
      () => undefined,
      () => undefined,
    );
    return processed;
  }

  private async processOffer(
    manifest: string,
    version: number,
    peerAddress: string | undefined,
  ): Promise<boolean> {
    const hash = contentHash(manifest);
    const revision = revisionOf(manifest);
    if (this.rejectedHashes.has(hash)) return true;
    if (revision === undefined) {
      this.reject(hash, 0, [
        'manifest is not valid JSON with a numeric "revision"',
      ]);
      return true;
    }
    const offer = {identity: {revision, hash, version}, manifest};
    const decision = adoption(this.inForce?.identity, offer.identity);
    if (decision !== ADOPTION.adopt) {
      this.reportDeclined(decision, offer.identity);
      return true;
    }
    return this.adopt(offer, peerAddress);
  }

  /** Logs and counts an offer that was not adopted, unless it is already in force. */
  private reportDeclined(
    decision: string,
    {revision, hash}: RevisionIdentity,
  ): void {
    if (decision === ADOPTION.same) return;
    const name =
      decision === ADOPTION.conflict ? 'revision_conflict' : 'revision_older';
    this.context.metrics.count(name);
    this.context.log.warn(name, {
      offered: revision,
      offered_hash: hash.slice(0, 12),
      in_force: this.revision(),
    });
  }

  private async adopt(
    offer: Offer,
    peerAddress: string | undefined,
  ): Promise<boolean> {
    const {hash, revision} = offer.identity;
    let values: Map<string, string> | undefined;
    try {
      values = await this.collectValues(offer.manifest, peerAddress);
    } catch (error) {
      this.reject(hash, revision, [String(error)]);
      return true;
    }
    if (values === undefined) {
      this.context.metrics.count('config_incomplete');
      return false;
    }
    const assembled = assembleConfiguration(
      offer.manifest,
      values,
      this.inForce?.configuration,
    );
    if (assembled.isErr()) {
      const findings = assembled.error.map(
        ({file, line, column, message}) =>
          `${file}:${line}:${column}: ${message}`,
      );
      this.reject(hash, revision, findings);
      return true;
    }
    this.putInForce(offer, values, assembled.value);
    return true;
  }

  /**
   * Returns the values of a manifest by published name, or undefined when one cannot be
   * fetched at present. Throws when the text is not a manifest.
   */
  private async collectValues(
    manifest: string,
    peerAddress: string | undefined,
  ): Promise<Map<string, string> | undefined> {
    const values = new Map<string, string>();
    const missing: Array<{name: string; sha256: string}> = [];
    for (const {name, sha256} of listedValues(manifest)) {
      const cached = this.textsByHash.get(sha256);
      if (cached !== undefined) values.set(publishedName(name, sha256), cached);
      else missing.push({name, sha256});
    }
    const hashes = missing.map(value => value.sha256);
    const fromPeer =
      peerAddress === undefined || hashes.length === 0
        ? []
        : await this.fetchFromPeer(peerAddress, hashes).catch(() => []);
    const byHash = new Map(fromPeer.map(text => [contentHash(text), text]));
    for (const {name, sha256} of missing) {
      const published = publishedName(name, sha256);
      const text = byHash.get(sha256) ?? (await this.readValue(published));
      if (text === undefined) return undefined;
      values.set(published, text);
    }
    return values;
  }

  private async readValue(name: string): Promise<string | undefined> {
    const result = await this.context.configService.read(name);
    return result.isOk() ? result.value.content : undefined;
  }

  private putInForce(
    {identity, manifest}: Offer,
    values: ReadonlyMap<string, string>,
    configuration: Configuration,
  ): void {
    const texts = [manifest, ...values.values()];
    this.textsByHash = new Map(texts.map(text => [contentHash(text), text]));
    this.inForce = {
      identity,
      configuration,
      sinceMs: this.context.clock.monotonicMs(),
    };
    this.context.metrics.gauge('revision', identity.revision);
    this.context.log.info('revision_in_force', {
      revision: identity.revision,
      hash: identity.hash.slice(0, 12),
    });
    this.configuration$.next(configuration);
  }

  /** Logs the findings of an invalid manifest, and remembers its hash. */
  private reject(
    hash: string,
    revision: number,
    findings: readonly string[],
  ): void {
    this.rejectedHashes.add(hash);
    this.context.metrics.count('config_rejected');
    for (const finding of findings) {
      this.context.log.error('config_rejected', {
        revision,
        in_force: this.revision(),
        finding,
      });
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms).unref());
  }
}
