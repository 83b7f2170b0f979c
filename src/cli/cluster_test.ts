import { expect } from "earl";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { printTables } from "../tables/mod.ts";
import { tables } from "../../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../../stand_ins/cluster.ts";
import { Exit } from "./mod.ts";

const COMMAND = join(__dirname, "../bin/toucanwind.js");
const GUARD = join(__dirname, "../../stand_ins/guard.js");
/** What the users ask of an accepted configuration. */
const IN_FORCE_MS = 6_000;

interface Answer {
  readonly exit: number;
  readonly outcome: string;
  readonly arrival?: {
    readonly inForce: boolean;
    readonly laggards: readonly { readonly vm: string }[];
  };
}

/** Three daemons and a command line that reaches them. */
async function clusterOf(t: TestContext) {
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
): Promise<Answer> {
  const child = spawn(
    process.execPath,
    ["--require", GUARD, COMMAND, ...args, "--json"],
    {
      stdio: ["ignore", "pipe", "inherit"],
      env: {
        ...process.env,
        TOUCANWIND_PLATFORM: cluster.platform.url,
        TOUCANWIND_ENTRY: cluster.daemons.map((one) => one.url).join(","),
      },
    },
  );
  const pieces: Buffer[] = [];
  for await (const piece of child.stdout) pieces.push(piece);
  return JSON.parse(Buffer.concat(pieces).toString("utf8"));
}

test("an edit is in force on all daemons, or the laggard is named", async (t) => {
  const { cluster, folder } = await clusterOf(t);
  const applied = await command(cluster, "apply", folder);
  expect(applied.outcome).toEqual("unchanged");
  const grant = ["key", "grant", "k2", "--route", "chat", "--tenant", "one"];
  expect((await command(cluster, ...grant)).exit).toEqual(Exit.Done);

  const [, paused] = cluster.daemons;
  paused.pause();
  const late = await command(
    cluster,
    ...["key", "withdraw", "k2", "--wait-ms", "1500"],
  );
  expect(late.exit).toEqual(Exit.Lagging);
  expect(late.arrival?.laggards.map(({ vm }) => vm)).toEqual([paused.id]);

  paused.resume();
  const waited = ["in-force", "--wait-ms", String(IN_FORCE_MS)];
  expect((await command(cluster, ...waited)).exit).toEqual(Exit.Done);
});
