import { expect } from "earl";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { printTables } from "../tables/mod.ts";
import { tables } from "../../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../../stand_ins/cluster.ts";
import { CliExitCode } from "./mod.ts";

const COMMAND_PATH = join(__dirname, "../bin/toucanwind.js");
const GUARD_PATH = join(__dirname, "../../stand_ins/guard.js");
/** The required bound for an accepted configuration to come into force. */
const IN_FORCE_TIMEOUT_MS = 6_000;

interface CommandReport {
  readonly exit: number;
  readonly outcome: string;
  readonly arrival?: {
    readonly inForce: boolean;
    readonly laggards: readonly { readonly vm: string }[];
  };
}

/** Starts three daemons and writes a folder with their tables. */
async function startCommandCluster(t: TestContext) {
  const cluster = await startCluster({ daemons: 3, tables: tables() });
  t.after(() => cluster.stop());
  const folder = mkdtempSync(join(tmpdir(), "toucanwind-cli-"));
  t.after(() => rmSync(folder, { recursive: true }));
  const files = printTables(tables());
  writeFileSync(join(folder, "routes.toml"), files.routes);
  writeFileSync(join(folder, "pools.toml"), files.pools);
  return { cluster, folder };
}

async function command(
  cluster: Cluster,
  ...args: readonly string[]
): Promise<CommandReport> {
  const child = spawn(
    process.execPath,
    ["--require", GUARD_PATH, COMMAND_PATH, ...args, "--json"],
    {
      stdio: ["ignore", "pipe", "inherit"],
      env: {
        ...process.env,
        TOUCANWIND_PLATFORM: cluster.platform.url,
        TOUCANWIND_ENTRY: cluster.daemons.map((one) => one.url).join(","),
      },
    },
  );
  const chunks: Buffer[] = [];
  for await (const chunk of child.stdout) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

test("an edit is in force on all daemons, or the laggard is listed", async (t) => {
  const { cluster, folder } = await startCommandCluster(t);
  const applied = await command(cluster, "apply", folder);
  expect(applied.outcome).toEqual("unchanged");
  const grant = ["key", "grant", "k2", "--route", "chat", "--tenant", "one"];
  expect((await command(cluster, ...grant)).exit).toEqual(CliExitCode.Done);

  const [, paused] = cluster.daemons;
  paused.pause();
  const late = await command(
    cluster,
    ...["key", "withdraw", "k2", "--wait-ms", "1500"],
  );
  expect(late.exit).toEqual(CliExitCode.Lagging);
  expect(late.arrival?.laggards.map(({ vm }) => vm)).toEqual([paused.id]);

  paused.resume();
  const waited = ["in-force", "--wait-ms", String(IN_FORCE_TIMEOUT_MS)];
  expect((await command(cluster, ...waited)).exit).toEqual(CliExitCode.Done);
});
