/**
 * The daemon's settings.
 *
 * @module
 */

/** Settings of one daemon; times are in milliseconds. */
export interface Settings {
  /** This VM's id, as on the platform's list. */
  readonly vm: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Where callers, trainers and operators connect. */
  readonly http: ListenAddress;
  /** Where the platform asks whether callers may come, if it does. */
  readonly readiness?: ListenAddress;
  /** Where metrics are served, if apart from callers. */
  readonly metrics?: ListenAddress;
  /** Where other daemons connect. */
  readonly peer: ListenAddress;
  /** Shared by all daemons; proves membership. */
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
   * served on the VM itself only.
   */
  readonly operatorSha256?: string;
  /** Folder for bulk data, or empty where the VM keeps nothing. */
  readonly dataFolder: string;
  readonly timing: TimingSettings;
}

/** Where a daemon listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bounds on time that operators may set; in milliseconds. */
export interface TimingSettings {
  /** A peer silent for longer is given up on. */
  readonly peerSilenceMs: number;
  readonly heartbeatMs: number;
  /** Time to live of the leases for orders and usage. */
  readonly leaseMs: number;
  /** A view of the configuration older than this refuses keyed work. */
  readonly freshnessMs: number;
  /** Length of a usage window. */
  readonly usageWindowMs: number;
  /** Wait after a window's end before it is sealed. */
  readonly usageGraceMs: number;
  /** How often the directory is read. */
  readonly directoryMs: number;
  /** How often an upstream's load is read by its keeper. */
  readonly loadMs: number;
  /** An upstream's stream silent for longer is given up on. */
  readonly upstreamSilenceMs: number;
  /** How long a graceful shutdown waits for running requests. */
  readonly drainMs: number;
  /** How long the outcome of an idempotency key is kept. */
  readonly claimRetentionMs: number;
  /** How long a batch's results are kept after its submission. */
  readonly batchRetentionMs?: number;
}
