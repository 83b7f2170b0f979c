/**
 * The operators' command line, `toucanwind`.
 *
 * @module
 */

import { Builtins, Cli } from "clipanion";
import { ExplainCommand } from "./explain_command.ts";
import {
  GrantKeyCommand,
  NewKeyCommand,
  WithdrawKeyCommand,
} from "./key_commands.ts";
import type { CommandContext } from "./base_command.ts";
import { InForceCommand, StatusCommand } from "./status_commands.ts";
import {
  ApplyCommand,
  DiffCommand,
  HistoryCommand,
  OutcomeCommand,
  RollbackCommand,
  ShowCommand,
  ValidateCommand,
} from "./tables_commands.ts";

export { type CommandContext } from "./base_command.ts";
export { CliExitCode } from "./exit.ts";
export {
  ARCHIVE_PREFIX,
  type CommitResult,
  type Edit,
  EditOutcome,
  RevisionStore,
  WITHDRAWN_PREFIX,
} from "./revision_store.ts";

/** Runs one command; returns its exit code. */
export async function run(
  args: readonly string[],
  context: CommandContext,
): Promise<number> {
  const cli = new Cli<CommandContext>({
    binaryName: "toucanwind",
    binaryLabel: "toucanwind, a rollout service",
    binaryVersion: "0.1.0",
    enableColors: "isTTY" in context.stdout && context.stdout.isTTY === true,
  });
  const commands = [
    ...[
      ValidateCommand,
      DiffCommand,
      ApplyCommand,
      ShowCommand,
      HistoryCommand,
      RollbackCommand,
      OutcomeCommand,
    ],
    ...[
      NewKeyCommand,
      GrantKeyCommand,
      WithdrawKeyCommand,
      StatusCommand,
      InForceCommand,
      ExplainCommand,
    ],
    ...[Builtins.HelpCommand, Builtins.VersionCommand],
  ];
  for (const command of commands) cli.register(command);
  return await cli.run([...args], context);
}
