/**
 * Plays one case: starts its deployment, records what happened, ends all that it
 * started, and exits with the result.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  type Daemon,
  Deployment,
  ROOT,
  sleep,
  untilReady,
} from "./deployment.ts";
import { MODEL } from "./manifest.ts";
import { PlatformStandIn } from "./platform.ts";
import { SamplerStandIn } from "./sampler.ts";

/** Results of a script. */
enum ExitCode {
  Held = 0,
  Broken = 1,
  NotRun = 2,
}

/** A script runs for this long at most. */
const MAX_RUN_MS = 115_000;

/** One play of a case. */
export class Case {
  readonly platform = new PlatformStandIn();
  readonly samplers: SamplerStandIn[] = [];
  /** Whether the disruption is played. */
  readonly hasTrouble = process.env.TROUBLE !== "0";
  readonly #startedAt = Date.now();
  readonly #lines: string[] = [];
  #deployment: Deployment | undefined;

  /** Plays a case, writes its record, and ends this process. */
  static async play({ folder, run, bounds }: {
    folder: string;
    /** Returns whether the rule was broken. */
    run: (test: Case) => Promise<boolean>;
    bounds?: Readonly<Record<string, unknown>>;
  }): Promise<void> {
    const test = new Case();
    let code = ExitCode.NotRun;
    const late = setTimeout(() => void finish("timeout"), MAX_RUN_MS);
    const finish = async (result: string) => {
      clearTimeout(late);
      await test.#deployment?.end();
      test.record({ result, code });
      const file = join(ROOT, "review", folder, "record.txt");
      writeFileSync(file, `${test.#lines.join("\n")}\n`);
      process.exit(code);
    };
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => void finish("stopped"));
    }
    try {
      await test.platform.start();
      const store = test.platform.address;
      test.#deployment = new Deployment({ store, bounds });
      const isBroken = await run(test);
      code = isBroken ? ExitCode.Broken : ExitCode.Held;
      await finish(isBroken ? "the rule was broken" : "the rule held");
    } catch (error) {
      await finish(`not run: ${error instanceof Error ? error.stack : error}`);
    }
  }

  /** Starts a sampler and registers it. */
  async sampler(options: {
    id: string;
    service: string;
    zone?: string;
  }): Promise<SamplerStandIn> {
    const sampler = new SamplerStandIn({
      zone: "zone-1",
      ...options,
      model: options.service === "lm" ? MODEL : undefined,
      platform: this.platform,
    });
    await sampler.start();
    this.samplers.push(sampler);
    return sampler;
  }

  /**
   * Starts daemons; returns once all are ready. `storeOf` gives the address at
   * which a daemon reaches the store, if it is another one.
   */
  async start(
    count: number,
    storeOf?: (daemon: number) => string | undefined,
  ): Promise<readonly Daemon[]> {
    if (this.#deployment === undefined) throw new Error("No deployment");
    return await this.#deployment.start(count, storeOf);
  }

  /** Stops a daemon as planned, and waits until it is back. */
  async stopped(daemon: Daemon): Promise<void> {
    const { pid } = daemon;
    daemon.signal("SIGTERM");
    while (daemon.pid === pid) await sleep(50);
    while (daemon.pid === undefined) await sleep(50);
    await untilReady(daemon);
  }

  /** Writes a line of the record, and to standard output. */
  record(line: Readonly<Record<string, unknown>>): void {
    const text = JSON.stringify({ ms: Date.now() - this.#startedAt, ...line });
    this.#lines.push(text);
    console.log(text);
  }
}
