/**
 * Test fixtures for batches.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { MemoryTransactionalKeyValue } from "../../stand_ins/memory_transactional_key_value.ts";
import { type Clock, SystemClock } from "../kernel/mod.ts";
import { BatchStore, type VersionedHead } from "./batch_store.ts";
import { type BatchSubmission, ItemOutcome, type ItemResult } from "./mod.ts";
import { Ownership } from "./ownership.ts";

/** The owner of the batches created here. */
export const OWNER = { owner: "a", run: "a1" };

/** A batch of one group with two items. */
export function submission(
  part: Partial<BatchSubmission> = {},
): BatchSubmission {
  return {
    id: "batch",
    route: "rollouts",
    host: "host.example",
    organisation: "org",
    wantedGroups: 1,
    minVersion: 1,
    items: ["one", "two"].map((id) => ({
      id,
      path: `/r/${id}`,
      fields: [],
      body: "",
      tokens: 10,
      prefixes: [],
      expectedTokens: 0,
      model: "m",
      group: "g",
    })),
    ...part,
  };
}

/** The result of a completed item. */
export function result(id: string): ItemResult {
  return {
    id,
    end: ItemOutcome.Completed,
    text: id,
    versions: [1],
    score: "s",
  };
}

/** A store of batches on an in-memory key-value service. */
export function createStore(
  { clock = new SystemClock() }: { clock?: Clock } = {},
) {
  const records = new MemoryTransactionalKeyValue();
  return { records, store: new BatchStore({ records, clock }) };
}

/** Ownership confirmed just now. */
export function ownership(options: {
  clock?: Clock;
  ttlMs?: number;
  signal?: AbortSignal;
} = {}): Ownership {
  const clock = options.clock ?? new SystemClock();
  return new Ownership({
    clock,
    batch: "batch",
    ttlMs: options.ttlMs ?? 2000,
    confirmedAt: clock.moment(),
    signal: options.signal ?? new AbortController().signal,
  });
}

/** Stores a new batch. */
export async function createBatch(batches: BatchStore): Promise<VersionedHead> {
  const outcome = await batches.create(submission(), {
    ...OWNER,
    timeoutMs: 1000,
  });
  if (isNone(outcome.now)) throw new Error("Not created");
  return outcome.now.value;
}
