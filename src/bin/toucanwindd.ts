#!/usr/bin/env -S node --max-semi-space-size=1
/**
 * Entry point of the daemon: `toucanwindd --settings FILE [--check]`.
 *
 * SIGTERM or SIGINT starts a graceful shutdown; a second one exits at once.
 * Exit codes: 0 graceful shutdown or successful `--check`, 1 internal error,
 * 2 invalid command line, 3 invalid settings, 4 failure to start, 5 shutdown
 * timeout.
 *
 * The young generation of the heap is small because a daemon allocates many
 * short-lived objects and has to fit a small VM.
 *
 * @module
 */

import { Cli, Command, Option } from "clipanion";
import { randomUUID } from "node:crypto";
import { Kernel, logger } from "../kernel/mod.ts";
import { httpPlatform } from "../outside/http_platform.ts";
import type { Platform } from "../outside/mod.ts";
import "../plugins.ts";
import { loadSettings } from "../settings/load.ts";
import type { Settings } from "../settings/mod.ts";

enum DaemonExitCode {
  Done = 0,
  Internal = 1,
  Usage = 2,
  Settings = 3,
  Start = 4,
  ShutdownTimeout = 5,
}

/** Added to the drain time; a shutdown that takes longer is aborted. */
const SHUTDOWN_TIMEOUT_MARGIN_MS = 5000;

const log = logger("daemon");

class DaemonCommand extends Command {
  static override usage = Command.Usage({
    description: "Runs the toucanwind daemon",
  });

  settings = Option.String("--settings", {
    required: true,
    description: "The settings file, TOML",
  });

  check = Option.Boolean("--check", false, {
    description: "Only check the settings",
  });

  async execute(): Promise<number> {
    const settings = loadSettings(this.settings);
    if (settings.err) {
      for (const error of settings.val) {
        this.context.stderr.write(`${error}\n`);
      }
      return DaemonExitCode.Settings;
    }
    if (this.check) return DaemonExitCode.Done;
    return await serve(settings.val);
  }
}

/** Runs the daemon until it is signalled to stop; returns the exit code. */
async function serve(settings: Settings): Promise<number> {
  const platform = httpPlatform(settings);
  const incarnation = randomUUID();
  const shutdownRequested = signal();
  const kernel = await startKernel({ settings, platform, incarnation });
  if (kernel === undefined) return DaemonExitCode.Start;
  log("started", { vm: settings.vm, incarnation });
  await shutdownRequested;
  log("draining", { vm: settings.vm });
  const shutdownTimeoutMs = settings.timing.drainMs +
    SHUTDOWN_TIMEOUT_MARGIN_MS;
  const overdue = setTimeout(
    () => process.exit(DaemonExitCode.ShutdownTimeout),
    shutdownTimeoutMs,
  );
  await kernel.shutdown();
  clearTimeout(overdue);
  await platform.close();
  log("stopped", { vm: settings.vm });
  return DaemonExitCode.Done;
}

async function startKernel(options: {
  settings: Settings;
  platform: Platform;
  incarnation: string;
}): Promise<Kernel | undefined> {
  try {
    const kernel = new Kernel(options);
    await kernel.start();
    return kernel;
  } catch (error) {
    process.stderr.write(`Daemon can't start: ${String(error)}\n`);
    return undefined;
  }
}

/** Resolves at the first SIGTERM or SIGINT; the second exits the process. */
function signal(): Promise<void> {
  return new Promise((resolve) => {
    const onFirstSignal = () => {
      process.once("SIGTERM", () => process.exit(DaemonExitCode.Internal));
      process.once("SIGINT", () => process.exit(DaemonExitCode.Internal));
      resolve();
    };
    process.once("SIGTERM", onFirstSignal);
    process.once("SIGINT", onFirstSignal);
  });
}

/** Runs the command line; returns the exit code. */
async function main(args: string[]): Promise<number> {
  const cli = new Cli({ binaryName: "toucanwindd" });
  cli.register(DaemonCommand);
  const command = parseCommand(cli, args);
  if (command === undefined) return DaemonExitCode.Usage;
  return await cli.run(command, Cli.defaultContext);
}

function parseCommand(cli: Cli, args: string[]): Command | undefined {
  try {
    return cli.process(args, Cli.defaultContext);
  } catch (error) {
    process.stderr.write(cli.error(error, { colored: false }));
    return undefined;
  }
}

// Exits explicitly: connections or timers that a plug-in left open would keep
// the process alive.
main(process.argv.slice(2)).then((code) => process.exit(code));
