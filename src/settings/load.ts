/**
 * Loads a daemon's settings from a TOML file. All errors are reported together,
 * each with the file and the key.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import {
  MIN_PEER_SECRET_CHARS,
  type Settings,
  type TimingSettings,
} from "./mod.ts";

/** Durations that apply where the settings file has none. */
export const DEFAULT_TIMING: TimingSettings = {
  heartbeatMs: 500,
  peerSilenceMs: 2000,
  leaseMs: 3000,
  freshnessMs: 2500,
  usageWindowMs: 60_000,
  usageGraceMs: 3000,
  directoryMs: 500,
  loadMs: 250,
  upstreamSilenceMs: 5000,
  drainMs: 30_000,
  claimRetentionMs: 3_600_000,
};

const name = z.string().min(1);
const port = z.int().min(1).max(65_535);
const listener = z.strictObject({ host: name, port });
const url = z.url({ protocol: /^https?$/ });

function milliseconds(defaultMs: number) {
  return z.int().positive().default(defaultMs);
}

const timing = z.strictObject({
  heartbeat_ms: milliseconds(DEFAULT_TIMING.heartbeatMs),
  peer_silence_ms: milliseconds(DEFAULT_TIMING.peerSilenceMs),
  lease_ms: milliseconds(DEFAULT_TIMING.leaseMs),
  freshness_ms: milliseconds(DEFAULT_TIMING.freshnessMs),
  usage_window_ms: milliseconds(DEFAULT_TIMING.usageWindowMs),
  usage_grace_ms: milliseconds(DEFAULT_TIMING.usageGraceMs),
  directory_ms: milliseconds(DEFAULT_TIMING.directoryMs),
  load_ms: milliseconds(DEFAULT_TIMING.loadMs),
  upstream_silence_ms: milliseconds(DEFAULT_TIMING.upstreamSilenceMs),
  drain_ms: milliseconds(DEFAULT_TIMING.drainMs),
  claim_retention_ms: milliseconds(DEFAULT_TIMING.claimRetentionMs),
}).refine((times) => times.peer_silence_ms > times.heartbeat_ms, {
  path: ["peer_silence_ms"],
  message: "Must be longer than heartbeat_ms",
});

const file = z.strictObject({
  vm: name,
  availability_zone: name,
  region: name,
  processor_cores: z.number().positive().optional(),
  data_folder: z.string().default(""),
  operator_sha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "Must be a SHA-256 as 64 lower-case hexadecimal digits",
  ).optional(),
  http: listener,
  peer: z.strictObject({ host: name, port, secret_file: name }),
  platform: z.strictObject({
    key_value: url,
    directory: url,
    orders: url,
    reports: url,
    weights: url,
  }),
  timing: timing.prefault({}),
});

/** Loads the settings; each error is one line with the file and the key. */
export function loadSettings(
  path: string,
): Result<Settings, readonly string[]> {
  const text = readText(path);
  if (text.err) return Err([text.val]);
  const toml = parseToml(text.val);
  if (toml.err) return Err([`${path}: ${toml.val}`]);
  const checked = file.safeParse(toml.val);
  const secret = readPeerSecret(path, toml.val);
  const errors = [
    ...checked.error?.issues.flatMap(toMessages) ?? [],
    ...secret.err ? [secret.val] : [],
  ];
  if (!checked.success || secret.err) {
    return Err(errors.map((error) => `${path}: ${error}`));
  }
  return Ok(toSettings(checked.data, secret.val));
}

function readText(path: string): Result<string, string> {
  try {
    return Ok(readFileSync(path, "utf8"));
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return Err(`File "${path}" can't be read: ${code}`);
  }
}

function parseToml(text: string): Result<Record<string, unknown>, string> {
  try {
    return Ok(parse(text));
  } catch (error) {
    return Err(String(error).trim());
  }
}

/** Reads the secret; the schema reports a missing `secret_file`. */
function readPeerSecret(
  path: string,
  toml: Record<string, unknown>,
): Result<string, string> {
  const peer = toml.peer as { secret_file?: unknown } | undefined;
  const name = peer?.secret_file;
  if (typeof name !== "string" || name === "") return Ok("");
  const text = readText(resolve(dirname(path), name));
  if (text.err) return Err(`Key "peer.secret_file": ${text.val}`);
  const secret = text.val.trim();
  if (secret.length >= MIN_PEER_SECRET_CHARS) return Ok(secret);
  return Err(
    `Key "peer.secret_file": Secret is shorter than ` +
      `${MIN_PEER_SECRET_CHARS} characters`,
  );
}

function toMessages(issue: z.core.$ZodIssue): readonly string[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      `Key "${[...issue.path, key].join(".")}" is unknown`
    );
  }
  return [`Key "${issue.path.join(".")}": ${issue.message}`];
}

function toSettings(
  { timing, platform, http, peer, ...rest }: z.infer<typeof file>,
  peerSecret: string,
): Settings {
  return {
    vm: rest.vm,
    availabilityZone: rest.availability_zone,
    region: rest.region,
    http,
    peer: { host: peer.host, port: peer.port },
    peerSecret,
    platform: {
      keyValue: platform.key_value,
      directory: platform.directory,
      orders: platform.orders,
      reports: platform.reports,
      weights: platform.weights,
    },
    processorCores: rest.processor_cores,
    dataFolder: rest.data_folder,
    operatorSha256: rest.operator_sha256,
    timing: {
      heartbeatMs: timing.heartbeat_ms,
      peerSilenceMs: timing.peer_silence_ms,
      leaseMs: timing.lease_ms,
      freshnessMs: timing.freshness_ms,
      usageWindowMs: timing.usage_window_ms,
      usageGraceMs: timing.usage_grace_ms,
      directoryMs: timing.directory_ms,
      loadMs: timing.load_ms,
      upstreamSilenceMs: timing.upstream_silence_ms,
      drainMs: timing.drain_ms,
      claimRetentionMs: timing.claim_retention_ms,
    },
  };
}
