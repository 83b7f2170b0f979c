/**
 * Keeps findings on refused requests in the key-value service. Daemons hold
 * findings in memory and share them by gossip, which ends if all of them
 * restart at once; a daemon reads the stored ones before it first grants.
 *
 * @module
 */

import { z } from "zod";
import { type Clock, logger, parseJson } from "../kernel/mod.ts";
import type { KeyValue } from "../outside/mod.ts";
import { finding as findingBody } from "./messages.ts";
import { type Finding, FINDING_TTL_MS } from "./quarantine.ts";

const log = logger("dispatch");

/** Prefix of the stored findings' keys. */
export const FINDINGS_PREFIX = "toucanwind/findings/";

/** Pause between attempts to read the findings. */
const READ_RETRY_MS = 1000;

/** Shortest time between two writes of one daemon. */
const WRITE_INTERVAL_MS = 1000;

/** Fingerprints that are known to be stored; older ones may be written again. */
const MAX_KNOWN = 4096;

const storedFinding = z.object({
  /** When it was written, in Unix milliseconds. */
  at: z.number(),
  finding: findingBody,
});

/** Reads and writes the stored findings. */
export class FindingStore {
  readonly #clock: Clock;
  readonly #keyValue: KeyValue;
  /** Fingerprints that are stored, or being written. */
  readonly #known = new Set<string>();
  #writtenAt = -Infinity;

  constructor(options: { clock: Clock; keyValue: KeyValue }) {
    this.#clock = options.clock;
    this.#keyValue = options.keyValue;
  }

  /** Reads all findings, trying again until it succeeds or `signal` aborts. */
  async read(signal: AbortSignal): Promise<readonly Finding[]> {
    while (!signal.aborted) {
      const read = await this.#keyValue.range(FINDINGS_PREFIX);
      if (read.ok) {
        const findings = read.val.flatMap(({ value }) => this.#parse(value));
        for (const { fingerprint } of findings) this.#noteKnown(fingerprint);
        log("findings read", { findings: findings.length });
        return findings;
      }
      log("findings not read", { reason: read.val.message });
      await this.#clock.sleep(READ_RETRY_MS, signal);
    }
    return [];
  }

  /** Writes a finding unless it is stored; it is removed when it expires. */
  async write(finding: Finding): Promise<void> {
    const { fingerprint } = finding;
    const now = this.#clock.now();
    if (this.#known.has(fingerprint)) return;
    if (now - this.#writtenAt < WRITE_INTERVAL_MS) return;
    this.#writtenAt = now;
    this.#noteKnown(fingerprint);
    const stored = await this.#swap(finding);
    // The next refusal of the request writes it again.
    if (!stored) this.#known.delete(fingerprint);
    log("finding written", { fingerprint, stored });
  }

  async #swap(finding: Finding): Promise<boolean> {
    const lease = await this.#keyValue.grant(FINDING_TTL_MS);
    if (lease.err) return false;
    const key = FINDINGS_PREFIX + finding.fingerprint;
    const value = JSON.stringify({ at: this.#clock.wall(), finding });
    // If the key exists, another daemon has written what this one knows.
    const swap = await this.#keyValue.swap(key, {
      value,
      expected: 0,
      lease: lease.val.id,
    });
    if (swap.ok && !swap.val.applied) {
      await this.#keyValue.revoke(lease.val.id);
    }
    return swap.ok;
  }

  #parse(value: string): readonly Finding[] {
    const parsed = storedFinding.safeParse(parseJson(value));
    if (!parsed.success) return [];
    const { at, finding } = parsed.data;
    const sinceMs = Math.max(0, this.#clock.wall() - at);
    const runs = finding.runs
      .map((run) => ({ ...run, ageMs: run.ageMs + sinceMs }));
    return [{ ...finding, runs }];
  }

  #noteKnown(fingerprint: string): void {
    if (this.#known.size >= MAX_KNOWN) this.#known.clear();
    this.#known.add(fingerprint);
  }
}
