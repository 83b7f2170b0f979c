/**
 * Types of the daemon's settings.
 *
 * @module
 */

/** Settings of one daemon; times are in milliseconds. */
export interface Settings {
  /** This VM's id, as on the platform's list. */
  readonly vm: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** The region of each availability zone, if the settings have it. */
  readonly regionsByZone?: Readonly<Record<string, string>>;
  /** Address for callers, trainers and operators. */
  readonly http: ListenAddress;
  /** Address of the platform's readiness probe, if it uses one. */
  readonly readiness?: ListenAddress;
  /** Address of the metrics, if separate from that of callers. */
  readonly metrics?: ListenAddress;
  /** Address for other daemons. */
  readonly peer: ListenAddress;
  /** Secret shared by all daemons; authenticates peers. */
  readonly peerSecret: string;
  readonly platform: {
    readonly keyValue: string;
    readonly directory: string;
    readonly orders: string;
    readonly reports: string;
    readonly weights: string;
  };
  /**
   * SHA-256 of the operators' token for the admin pages; without it they are
   * served to the VM itself only.
   */
  readonly operatorSha256?: string;
  /** Processor time of this daemon, in cores; 1 by default. */
  readonly processorCores?: number;
  /** Folder for bulk data; empty if the VM stores none. */
  readonly dataFolder: string;
  readonly timing: TimingSettings;
}

/** Shortest secret that daemons share. */
export const MIN_PEER_SECRET_CHARS = 8;

/** An address on which a daemon listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Durations that operators may set, in milliseconds. */
export interface TimingSettings {
  /** The link to a peer that is silent for longer is closed. */
  readonly peerSilenceMs: number;
  readonly heartbeatMs: number;
  /** Time to live of the duty leases for orders and usage. */
  readonly leaseMs: number;
  /** Keyed requests are refused if the configuration is older than this. */
  readonly freshnessMs: number;
  /** Length of a usage window. */
  readonly usageWindowMs: number;
  /** Delay after a window's end before it is sealed. */
  readonly usageGraceMs: number;
  /** Interval between reads of the directory. */
  readonly directoryMs: number;
  /** Interval at which a shard's leader reads the load of its upstreams. */
  readonly loadMs: number;
  /** A stream of an upstream that is silent for longer is aborted. */
  readonly upstreamSilenceMs: number;
  /** How long a graceful shutdown waits for running requests. */
  readonly drainMs: number;
  /** Retention period of the outcome of an idempotency key. */
  readonly claimRetentionMs: number;
  /** Retention period of a batch's results from its submission on. */
  readonly batchRetentionMs?: number;
  /** Time after the end of a batch in which its requests may still start. */
  readonly batchEndGraceMs?: number;
}
