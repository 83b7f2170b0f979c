/**
 * Exit codes of the `toucanwind` command.
 *
 * @module
 */

export enum CliExitCode {
  Done = 0,
  /** Invalid usage or invalid tables; nothing was changed. */
  Refused = 1,
  /** Conflict with an edit that was accepted first; nothing was changed. */
  Lost = 2,
  /** The platform or the daemons did not answer; see the output. */
  Unknown = 3,
  /** Accepted, but not in force on every daemon in time. */
  Lagging = 4,
}
