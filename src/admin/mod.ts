/**
 * What operators ask of a running daemon.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";

/** Which revision a member has in force. */
export interface MemberRevision {
  readonly vm: string;
  /** 0 before the first; `null` if the member did not answer. */
  readonly revision: number | null;
  /** Age of its view in milliseconds; `null` if unknown or unbounded. */
  readonly ageMs: number | null;
}

/** Which revision each daemon has in force. */
export interface InForceStatus {
  /** The revision of the daemon that was asked. */
  readonly revision: number;
  readonly members: readonly MemberRevision[];
  /** Daemons on the platform's list, but no members; `null` if unreadable. */
  readonly missing: readonly string[] | null;
}

/** A daemon's status, by plug-in. */
export interface DaemonStatus {
  readonly vm: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly draining: boolean;
  readonly revision: number;
  readonly parts: Readonly<Record<string, unknown>>;
}

/** Answers operators. */
export abstract class Admin extends Plugin {
  /** This daemon's status, or one part of it. */
  abstract status(part?: string): DaemonStatus;

  /**
   * Which revision each daemon has in force. Members known to have `wanted`
   * or a newer one are not asked again.
   */
  abstract inForceStatus(wanted?: number): Promise<InForceStatus>;
}

/** The key of the admin plug-in. */
export const adminKey = new PluginKey<Admin>("admin");
