/**
 * Runs one stand-in as a process:
 * `node dist/stand_ins/main.js platform|engine|service --port N ...`.
 * Options of the stand-in are flags, with JSON or plain text as value. Prints
 * one JSON line `{"url": ...}` when it listens. Exits on SIGTERM.
 *
 * @module
 */

import { startEngine } from "./engine.ts";
import { startPlatform, vm } from "./platform.ts";
import { startService } from "./service.ts";

/** Exit code of an engine that crashed on demand. */
const CRASH_EXIT_CODE = 70;

interface StandIn {
  readonly url: string;
  close(): Promise<void>;
}

function parseFlags(args: readonly string[]): Record<string, unknown> {
  const pairs: [string, unknown][] = [];
  for (let n = 0; n < args.length; n += 2) {
    const name = args[n].replace(/^--/, "")
      .replace(/-(\w)/g, (_dashed, letter: string) => letter.toUpperCase());
    pairs.push([name, parseValue(args[n + 1])]);
  }
  return Object.fromEntries(pairs);
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Not JSON: taken as plain text.
    return text;
  }
}

function startStandIn(
  kind: string,
  given: Record<string, unknown>,
): Promise<StandIn> {
  if (kind === "platform") return startPlatform(withOrderedEngines(given));
  if (kind === "service") return startService(given);
  if (kind === "engine") {
    return startEngine({
      onCrash: () => process.exit(CRASH_EXIT_CODE),
      ...given,
    });
  }
  throw new RangeError(`Unknown stand-in "${kind}"`);
}

/** With `--engines JSON`, orders start engines within this process. */
function withOrderedEngines(
  given: Record<string, unknown>,
): Record<string, unknown> {
  if (given.engines === undefined) return given;
  const running = new Map<string, StandIn>();
  let started = 0;
  return {
    ...given,
    launch: async (wanted: { pool: string; availabilityZone: string }) => {
      const id = `ordered-${++started}`;
      const engine = await startEngine({
        name: id,
        history: given.history as string | undefined,
        ...given.engines as object,
      });
      running.set(id, engine);
      return vm({ ...wanted, id, address: new URL(engine.url).host });
    },
    terminate: ({ id }: { id: string }) => running.get(id)?.close(),
  };
}

async function main(): Promise<void> {
  const [kind, ...args] = process.argv.slice(2);
  const standIn = await startStandIn(kind, parseFlags(args));
  process.on("SIGTERM", async () => {
    await standIn.close();
    process.exit(0);
  });
  console.log(JSON.stringify({ url: standIn.url }));
}

main().catch((error) => {
  console.error(error);
  process.exit(1);
});
