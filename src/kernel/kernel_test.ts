import { expect } from "earl";
import { test } from "node:test";
import type { Platform } from "../outside/mod.ts";
import { DEFAULT_TIMING } from "../settings/load.ts";
import type { Settings } from "../settings/mod.ts";
import { Kernel } from "./kernel.ts";
import { Plugin, PluginKey } from "./plugin.ts";

const DRAIN_MS = 100;

/** A kernel with a plug-in whose hand-over never ends, and its calls in order. */
function kernelWithStuckPlugin() {
  const calls: string[] = [];
  class Stuck extends Plugin {
    override beginShutdown(): void {
      calls.push("begin");
    }

    override leave(): Promise<void> {
      calls.push("leave");
      return new Promise(() => {});
    }

    override close(): Promise<void> {
      calls.push("close");
      return Promise.resolve();
    }

    override stop(): Promise<void> {
      calls.push("stop");
      return Promise.resolve();
    }
  }
  const key = new PluginKey<Stuck>("stuck");
  const kernel = new Kernel({
    settings: {
      vm: "a",
      timing: { ...DEFAULT_TIMING, drainMs: DRAIN_MS },
    } as Settings,
    platform: {} as Platform,
    incarnation: "a-1",
    registrations: [{ key, requires: [], create: () => new Stuck() }],
  });
  return { kernel, calls };
}

// Callers were drained only after the hand-over, which a silent service holds up.
test("a hand-over that never ends holds up no shutdown", async () => {
  const { kernel, calls } = kernelWithStuckPlugin();
  const stopped = kernel.shutdown();
  expect(calls.slice(0, 2)).toEqual(["begin", "leave"]);
  await stopped;
  expect(calls).toEqual(["begin", "leave", "close", "stop"]);
});
