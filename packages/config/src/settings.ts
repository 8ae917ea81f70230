/** Settings of one process, which are read from a file of JSON with comments. */

/** Address of a metrics server that receives StatsD over UDP. */
export interface MetricsAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits of one process. */
export interface SettingsLimits {
  /** Maximum size of a request body, in bytes. */
  readonly bodyBytes: number;
  /** Maximum size of the request headers from a caller, in bytes. */
  readonly headerBytes: number;
  /** Maximum number of requests in progress in the process. */
  readonly requests: number;
  /** Maximum number of call records that a target node keeps. */
  readonly callRecords: number;
}

/** Settings of one process. Absent addresses are empty strings. */
export interface Settings {
  readonly name: string;
  readonly role: 'entry' | 'target';
  /** Service of a target; empty for an entry. */
  readonly service: string;
  /**
   * Index of the target within its service, from 0; -1 for an entry. It selects
   * the target's share of the weight store limit, so it must be unique within the
   * service.
   */
  readonly ordinal: number;
  readonly failureDomain: string;
  /** `ip:port` of the Connect server; with port 0 the system chooses the port. */
  readonly listen: string;
  /** `ip:port` on which an entry listens for callers; empty for a target. */
  readonly callerListen: string;
  /** Base URL of the configuration service. */
  readonly configService: string;
  /** Base URL of the VM list. */
  readonly vmList: string;
  /** Base URL of the engine of a model service target; otherwise empty. */
  readonly engine: string;
  /** Base URL of the plain service of a target; otherwise empty. */
  readonly plain: string;
  readonly metrics?: MetricsAddress;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly limits: SettingsLimits;
}
