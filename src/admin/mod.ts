/**
 * The admin plug-in's interface: a daemon's status and the revisions in force.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";

/** The configuration revision that a member has in force. */
export interface MemberRevision {
  readonly vm: string;
  /** 0 before the first revision; `null` if the member did not answer. */
  readonly revision: number | null;
  /** Age of its configuration in milliseconds; `null` if unknown or infinite. */
  readonly ageMs: number | null;
}

/** The configuration revisions in force on all daemons. */
export interface InForceStatus {
  /** The revision of the daemon that answers the request. */
  readonly revision: number;
  readonly members: readonly MemberRevision[];
  /** Daemons on the platform's list that aren't members; `null` if unreadable. */
  readonly missing: readonly string[] | null;
}

/** A daemon's status, with one part per plug-in. */
export interface DaemonStatus {
  readonly vm: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly draining: boolean;
  readonly revision: number;
  readonly parts: Readonly<Record<string, unknown>>;
}

/** Answers the operators' requests. */
export abstract class Admin extends Plugin {
  /** This daemon's status, limited to one part if given. */
  abstract status(part?: string): DaemonStatus;

  /**
   * The revision each daemon has in force. Members already known to have
   * `wanted` or a newer revision are not queried again.
   */
  abstract inForceStatus(wanted?: number): Promise<InForceStatus>;
}

/** The key of the admin plug-in. */
export const adminKey = new PluginKey<Admin>("admin");
