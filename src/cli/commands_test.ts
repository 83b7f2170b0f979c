import { expect } from "earl";
import fastify from "fastify";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { hashKey, printTables, type Tables } from "../tables/mod.ts";
import { pool, route, tables } from "../../stand_ins/builders.ts";
import {
  CallResult,
  commandRunner,
  MemoryKeyValue,
} from "./command_fixture.ts";
import { CliExitCode } from "./mod.ts";

const NO_WAIT = ["--wait-ms", "0"];

/** Writes the tables' files to a new folder. */
function writeFolder(t: TestContext, tables: Tables): string {
  const folder = mkdtempSync(join(tmpdir(), "toucanwind-cli-"));
  t.after(() => rmSync(folder, { recursive: true }));
  const files = printTables(tables);
  writeFileSync(join(folder, "routes.toml"), files.routes);
  writeFileSync(join(folder, "pools.toml"), files.pools);
  return folder;
}

function withSlots(slots: number): Tables {
  return tables({ pools: [pool({ slots })] });
}

/** Starts an HTTP server whose in-force page lists these members. */
async function startDaemonStub(
  t: TestContext,
  members: () => readonly unknown[],
): Promise<string> {
  const server = fastify();
  server.get("/admin/in-force", () => ({
    revision: 0,
    members: members(),
    missing: ["vm-9"],
  }));
  await server.listen({ host: "127.0.0.1", port: 0 });
  t.after(() => server.close());
  const { port } = server.server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}

test("validate reports all problems and exits with 1", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  const folder = writeFolder(t, tables());
  expect((await command("validate", folder)).exit).toEqual(CliExitCode.Done);
  writeFileSync(join(folder, "pools.toml"), "[pools.lm]\nslots = 0\n");
  const { exit, stderr } = await command("validate", folder);
  expect(exit).toEqual(CliExitCode.Refused);
  expect(stderr.split("\n").length).toBeGreaterThanOrEqual(4);
});

test("apply, show and history report the same revision", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  const folder = writeFolder(t, withSlots(3));
  const applied = await command("apply", folder, "--json", ...NO_WAIT);
  expect(JSON.parse(applied.stdout).revision).toEqual(1);
  const again = await command("apply", folder, "--json", ...NO_WAIT);
  expect(JSON.parse(again.stdout).outcome).toEqual("unchanged");
  const shown = await command("show", "--json");
  expect(JSON.parse(shown.stdout).tables).toEqual(withSlots(3));
  const listed = await command("history", "--json");
  expect(JSON.parse(listed.stdout).revisions.length).toEqual(1);
});

test("files written by show match the stored revision", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  const folder = writeFolder(t, withSlots(3));
  await command("apply", folder, ...NO_WAIT);
  const out = join(folder, "out");
  await command("show", "--out", out);
  const { stdout } = await command("diff", out);
  expect(stdout).toEqual("Nothing differs from revision 1\n");
});

test("an edit of an outdated revision is refused and names the winner", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  await command("apply", writeFolder(t, withSlots(3)), ...NO_WAIT);
  const winner = ["--author", "ana", "--note", "more slots", ...NO_WAIT];
  await command("apply", writeFolder(t, withSlots(4)), ...winner);
  const lost = await command(
    "apply",
    writeFolder(t, withSlots(5)),
    "--on",
    "1",
  );
  expect(lost.exit).toEqual(CliExitCode.Lost);
  expect(/Another edit of revision 1 came first.*\n.*2 .*ana {2}more slots/
    .test(lost.stderr)).toEqual(true);
});

test("a resend is recognised by its attempt id, other tables refused", async (t) => {
  const keyValue = new MemoryKeyValue();
  const command = commandRunner(keyValue);
  const folder = writeFolder(t, withSlots(3));
  await command("apply", writeFolder(t, withSlots(2)), ...NO_WAIT);
  let sent = false;
  keyValue.planCall = (operation, key) => {
    if (operation === "swap" && key.endsWith("configuration")) sent = true;
    return sent ? CallResult.AnswerLost : CallResult.Answered;
  };
  const lost = await command("apply", folder, "--json", ...NO_WAIT);
  expect(lost.exit).toEqual(CliExitCode.Unknown);
  const { attempt } = JSON.parse(lost.stdout);
  keyValue.planCall = () => CallResult.Answered;
  await command("apply", writeFolder(t, withSlots(9)), ...NO_WAIT);
  const resend = ["--on", "1", "--attempt", attempt, "--json", ...NO_WAIT];
  const again = await command("apply", folder, ...resend);
  expect(JSON.parse(again.stdout).outcome).toEqual("accepted");
  expect(JSON.parse(again.stdout).revision).toEqual(2);
  const outcome = await command("outcome", attempt, "--on", "1", ...NO_WAIT);
  expect(outcome.exit).toEqual(CliExitCode.Done);
  const open = await command("outcome", attempt, "--on", "3", ...NO_WAIT);
  expect(open.exit).toEqual(CliExitCode.Unknown);
  const other = await command("apply", writeFolder(t, withSlots(5)), ...resend);
  expect(other.exit).toEqual(CliExitCode.Refused);
});

test("a granted key is printed once, and only its hash is stored", async (t) => {
  const keyValue = new MemoryKeyValue();
  const command = commandRunner(keyValue);
  await command("apply", writeFolder(t, tables()), ...NO_WAIT);
  const grant = ["--route", "chat", "--tenant", "one", "--json", ...NO_WAIT];
  const granted = await command("key", "grant", "one-2", ...grant);
  const { key } = JSON.parse(granted.stdout);
  const stored = JSON.stringify([...keyValue.entries.values()]);
  expect(stored.includes(key)).toEqual(false);
  expect(stored.includes(hashKey(key))).toEqual(true);
  const twice = await command("key", "grant", "one-2", ...grant);
  expect(twice.exit).toEqual(CliExitCode.Refused);
});

test("a withdrawn key is applied again only with --regrant", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  const folder = writeFolder(t, tables());
  const id = tables().routes[0].keys[0].id;
  await command("apply", folder, ...NO_WAIT);
  const withdrawn = await command("key", "withdraw", id, ...NO_WAIT);
  expect(withdrawn.exit).toEqual(CliExitCode.Done);
  const refused = await command("apply", folder, ...NO_WAIT);
  expect(refused.exit).toEqual(CliExitCode.Refused);
  expect(refused.stderr.includes(`"${id}"`)).toEqual(true);
  const back = await command("rollback", "1", "--json", ...NO_WAIT);
  expect(JSON.parse(back.stdout).outcome).toEqual("unchanged");
  const forced = await command("apply", folder, "--regrant", ...NO_WAIT);
  expect(forced.exit).toEqual(CliExitCode.Done);
});

test("a withdrawn key is granted by hash only with --regrant", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  await command("apply", writeFolder(t, tables()), ...NO_WAIT);
  const { id, sha256 } = tables().routes[0].keys[0];
  await command("key", "withdraw", id, ...NO_WAIT);
  const grant = ["key", "grant", "x", "--route", "chat", "--tenant", "one"];
  const args = [...grant, "--sha256", sha256, ...NO_WAIT];
  expect((await command(...args)).exit).toEqual(CliExitCode.Refused);
  expect((await command(...args, "--regrant")).exit).toEqual(CliExitCode.Done);
});

test("rollback commits the old tables as a new revision", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  for (const slots of [3, 4, 5]) {
    await command("apply", writeFolder(t, withSlots(slots)), ...NO_WAIT);
  }
  const back = await command("rollback", "1", "--json", ...NO_WAIT);
  expect(JSON.parse(back.stdout).revision).toEqual(4);
  const shown = await command("show", "--json");
  expect(JSON.parse(shown.stdout).tables).toEqual(withSlots(3));
});

test("an edit takes four platform calls, with a changed key five", async (t) => {
  const keyValue = new MemoryKeyValue();
  const command = commandRunner(keyValue);
  await command("apply", writeFolder(t, withSlots(3)), ...NO_WAIT);
  const calls: string[] = [];
  keyValue.planCall = (operation) => {
    calls.push(operation);
    return CallResult.Answered;
  };
  await command("apply", writeFolder(t, withSlots(4)), ...NO_WAIT);
  expect(calls).toEqual(["get", "get", "swap", "swap"]);
  await command(
    ...["key", "grant", "k2", "--route", "chat", "--tenant", "one"],
    ...NO_WAIT,
  );
  expect(calls.slice(4)).toEqual(["get", "get", "get", "swap", "swap"]);
});

test("concurrent grants of keys all take effect", async (t) => {
  const keyValue = new MemoryKeyValue();
  const command = commandRunner(keyValue);
  await command("apply", writeFolder(t, tables()), ...NO_WAIT);
  const grant = ["--route", "chat", "--tenant", "one", ...NO_WAIT];
  const exits = await Promise.all(
    ["k1", "k2", "k3", "k4"].map((id) => command("key", "grant", id, ...grant)),
  );
  expect(exits.map(({ exit }) => exit)).toEqual([0, 0, 0, 0]);
  const shown = JSON.parse((await command("show", "--json")).stdout);
  expect(shown.tables.routes[0].keys.length).toEqual(5);
});

test("lagging, unresponsive and missing daemons are listed", async (t) => {
  const entry = await startDaemonStub(t, () => [
    { vm: "vm-1", revision: 1, ageMs: 3 },
    { vm: "vm-2", revision: 0, ageMs: 3 },
    { vm: "vm-3", revision: null, ageMs: null },
  ]);
  const command = commandRunner(new MemoryKeyValue(), {
    TOUCANWIND_ENTRY: entry,
  });
  const { exit, stderr } = await command("apply", writeFolder(t, tables()));
  expect(exit).toEqual(CliExitCode.Lagging);
  expect(stderr.includes("vm-1")).toEqual(false);
  for (
    const line of ["vm-2: has 0", "vm-3: no answer", "vm-9: listed as live"]
  ) {
    expect(stderr.includes(line)).toEqual(true);
  }
});

test("status prints one part of each daemon as a table", async (t) => {
  const server = fastify();
  const upstreams = [{ id: "u-1", running: 3 }, { id: "u-20", running: 10 }];
  server.get("/admin/status", () => ({
    members: [
      { vm: "vm-1", parts: { dispatch: { upstreams }, usage: {} } },
      { vm: "vm-2", parts: null },
    ],
  }));
  await server.listen({ host: "127.0.0.1", port: 0 });
  t.after(() => server.close());
  const { port } = server.server.address() as AddressInfo;
  const env = { TOUCANWIND_ENTRY: `http://127.0.0.1:${port}` };
  const command = commandRunner(new MemoryKeyValue(), env);
  const { stdout } = await command("status", "dispatch", "--all");
  expect(stdout.split("\n")).toEqual([
    "members:",
    "  -",
    "    vm: vm-1",
    "    dispatch:",
    "      upstreams:",
    "        id    running",
    "        u-1   3",
    "        u-20  10",
    "  -",
    "    vm: vm-2",
    "    dispatch: null",
    "",
  ]);
});

test("an edit stays accepted if the daemons are unreachable", async (t) => {
  const env = { TOUCANWIND_ENTRY: "http://127.0.0.1:1" };
  const command = commandRunner(new MemoryKeyValue(), env);
  const { exit, stderr } = await command("apply", writeFolder(t, tables()));
  expect(exit).toEqual(CliExitCode.Lagging);
  expect(stderr.includes("Revision 1 is accepted")).toEqual(true);
  expect((await command("status")).exit).toEqual(CliExitCode.Unknown);
});

test("an unreachable platform is reported and nothing is changed", async (t) => {
  const keyValue = new MemoryKeyValue({ planCall: () => CallResult.NotSent });
  const command = commandRunner(keyValue);
  const down = await command("apply", writeFolder(t, tables()), "--json");
  expect(down.exit).toEqual(CliExitCode.Unknown);
  expect(JSON.parse(down.stdout).outcome).toEqual("unreached");
});

test("invalid options and settings exit with 1", async (t) => {
  const command = commandRunner(new MemoryKeyValue());
  const folder = writeFolder(t, tables({ routes: [route()] }));
  for (
    const args of [
      ["apply", folder, "--on", "x"],
      ["apply", folder, "--attempt", "a"],
      ["apply", folder, "--wait-ms", "soon"],
      ["show", "--platform", "nowhere"],
      ["show", "--settings", join(folder, "none.toml")],
      ["show", "--settings", join(folder, "routes.toml")],
      ["fly"],
    ]
  ) {
    expect((await command(...args)).exit).toEqual(CliExitCode.Refused);
  }
  expect((await command("history")).stdout).toEqual("");
});
