/** Settings of one process, read from a file of JSON with comments. */

/** Address of a metrics sink that takes StatsD over UDP. */
export interface MetricsAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits of one process. */
export interface SettingsLimits {
  /** Largest request body from a caller, in bytes. */
  readonly bodyBytes: number;
  /** Largest request header from a caller, in bytes. */
  readonly headerBytes: number;
  /** Requests in progress at one process. */
  readonly requests: number;
  /** Call records that a target node keeps. */
  readonly callRecords: number;
}

/** Settings of one process. Absent addresses are empty strings. */
export interface Settings {
  readonly name: string;
  readonly role: 'entry' | 'target';
  /** Service of a target; empty for an entry. */
  readonly service: string;
  /**
   * Number of the target within its service, from 0; it owns this share of the
   * weight store limit, so no two targets of a service may have the same. -1
   * for an entry.
   */
  readonly ordinal: number;
  readonly failureDomain: string;
  /** `ip:port` of the connect server; port 0 takes one from the system. */
  readonly listen: string;
  /** `ip:port` for callers; empty for a target. */
  readonly callerListen: string;
  /** Base URL of the configuration service. */
  readonly configService: string;
  /** Base URL of the VM list. */
  readonly vmList: string;
  /** Base URL of the model engine; empty for others. */
  readonly engine: string;
  /** Base URL of the plain service; empty for others. */
  readonly plain: string;
  readonly metrics?: MetricsAddress;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly limits: SettingsLimits;
}
