#!/usr/bin/env node
/**
 * The operators' command: `toucanwind --help` lists what it does.
 *
 * @module
 */

import { Cli } from "clipanion";
import { run } from "../cli/mod.ts";
import { SystemClock } from "../kernel/mod.ts";
import { HttpKeyValue } from "../outside/http_key_value.ts";

async function main(): Promise<number> {
  return await run(process.argv.slice(2), {
    ...Cli.defaultContext,
    clock: new SystemClock(),
    connect: (url) => new HttpKeyValue({ url }),
  });
}

// Set rather than passed to exit(): what was printed must reach its reader.
main().then((code) => {
  process.exitCode = code;
});
