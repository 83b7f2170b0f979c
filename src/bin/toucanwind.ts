#!/usr/bin/env node
/**
 * Entry point of the operators' command line; see `toucanwind --help`.
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

// Not process.exit(), which could drop output that is still buffered.
main().then((code) => {
  process.exitCode = code;
});
