import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { DEFAULT_TIMING, loadSettings } from "./load.ts";

const VALID_SETTINGS = `
vm = "entry-1"
availability_zone = "a"
region = "tt-south"
[http]
host = "127.0.0.1"
port = 8080
[peer]
host = "127.0.0.1"
port = 7070
secret_file = "peer.secret"
[platform]
key_value = "http://10.0.0.1:1"
directory = "http://10.0.0.1:2"
orders = "http://10.0.0.1:3"
reports = "http://10.0.0.1:4"
weights = "http://10.0.0.1:5"
`;

/** Loads settings from this text; returns them or the errors. */
function load(text: string, secret = "long enough\n") {
  const folder = mkdtempSync(join(tmpdir(), "settings-"));
  const path = join(folder, "daemon.toml");
  writeFileSync(path, text);
  if (secret !== "") writeFileSync(join(folder, "peer.secret"), secret);
  const settings = loadSettings(path);
  rmSync(folder, { recursive: true });
  return settings.mapErr((errors) =>
    errors.map((error) => error.replaceAll(folder, ""))
  );
}

test("all durations have defaults", () => {
  const settings = load(VALID_SETTINGS).unwrap();
  expect(settings.timing).toEqual(DEFAULT_TIMING);
  expect(settings.peerSecret).toEqual("long enough");
  expect(settings.dataFolder).toEqual("");
});

test("the operators' token is accepted as a hash only", () => {
  const withToken = (value: string) =>
    load(`operator_sha256 = "${value}"\n${VALID_SETTINGS}`);
  const hash = "0f".repeat(32);
  expect(withToken(hash).unwrap().operatorSha256).toEqual(hash);
  expect(withToken("the token itself").err).toEqual(true);
  expect(load(VALID_SETTINGS).unwrap().operatorSha256).toEqual(undefined);
});

test("the processor's cores are a number above 0", () => {
  const withCores = (value: string) =>
    load(`processor_cores = ${value}\n${VALID_SETTINGS}`);
  expect(withCores("0.5").unwrap().processorCores).toEqual(0.5);
  expect(withCores("0").err).toEqual(true);
});

test("a duration in the file overrides its default", () => {
  const settings = load(`${VALID_SETTINGS}[timing]\nlease_ms = 1000\n`)
    .unwrap();
  expect(settings.timing).toEqual({ ...DEFAULT_TIMING, leaseMs: 1000 });
});

test("all errors are reported together, each with file and key", () => {
  const text = VALID_SETTINGS
    .replace(`vm = "entry-1"`, "")
    .replace("port = 8080", `port = "x"\ntls = true`)
    .replace(`"http://10.0.0.1:5"`, `"ftp://10.0.0.1"`);
  expect(load(text, "").val).toEqual([
    `/daemon.toml: Key "vm": Invalid input: expected string, received undefined`,
    `/daemon.toml: Key "http.port": Invalid input: expected number, received string`,
    `/daemon.toml: Key "http.tls" is unknown`,
    `/daemon.toml: Key "platform.weights": Invalid URL`,
    `/daemon.toml: Key "peer.secret_file": File "/peer.secret" can't be read: ENOENT`,
  ]);
});

test("the heartbeat must be shorter than the silence timeout", () => {
  const text = `${VALID_SETTINGS}[timing]\nheartbeat_ms = 5000\n`;
  expect(load(text).val).toEqual([
    `/daemon.toml: Key "timing.peer_silence_ms": Must be longer than heartbeat_ms`,
  ]);
});

test("a short secret, a missing file and invalid TOML are refused", () => {
  expect(load(VALID_SETTINGS, "short").err).toEqual(true);
  expect(load("vm = ").err).toEqual(true);
  expect(loadSettings("/nowhere.toml").val).toEqual([
    `File "/nowhere.toml" can't be read: ENOENT`,
  ]);
});
