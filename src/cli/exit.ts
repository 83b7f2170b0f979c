/**
 * How the command ends, for the shell.
 *
 * @module
 */

/** The command's exit code. */
export enum CliExitCode {
  Done = 0,
  /** Wrong usage or tables at fault; nothing was changed. */
  Refused = 1,
  /** Another operator's edit came first; nothing was changed. */
  Lost = 2,
  /** The platform or the daemons gave no answer; the text says what stands. */
  Unknown = 3,
  /** Accepted, but not in force on every daemon in time. */
  Lagging = 4,
}
