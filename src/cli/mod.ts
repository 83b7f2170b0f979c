/**
 * The operators' command line.
 *
 * @module
 */

import { Builtins, Cli } from "clipanion";
import { Explain } from "./explain_command.ts";
import { GrantKey, NewKey, WithdrawKey } from "./key_commands.ts";
import type { Context } from "./operation.ts";
import { InForce, Status } from "./status_commands.ts";
import {
  Apply,
  Diff,
  History,
  Outcome,
  Rollback,
  Show,
  Validate,
} from "./tables_commands.ts";

export { type Context } from "./operation.ts";
export { Exit } from "./exit.ts";
export {
  ARCHIVE_PREFIX,
  type Commit,
  type Edit,
  EditOutcome as EditOutcome,
  RevisionStore as RevisionStore,
  WITHDRAWN_PREFIX,
} from "./revision_store.ts";

/** Runs one command; gives its exit code. */
export async function run(
  args: readonly string[],
  context: Context,
): Promise<number> {
  const cli = new Cli<Context>({
    binaryName: "toucanwind",
    binaryLabel: "toucanwind, a rollout service",
    binaryVersion: "0.1.0",
    enableColors: "isTTY" in context.stdout && context.stdout.isTTY === true,
  });
  const commands = [
    ...[Validate, Diff, Apply, Show, History, Rollback, Outcome],
    ...[NewKey, GrantKey, WithdrawKey, Status, InForce, Explain],
    ...[Builtins.HelpCommand, Builtins.VersionCommand],
  ];
  for (const command of commands) cli.register(command);
  return await cli.run([...args], context);
}
