/**
 * Checks the outcomes that were reported to operators against the stored
 * history of configurations.
 *
 * @module
 */

import { isSome, type Option } from "fp-ts/Option";
import type { KeyValueEntry } from "../outside/mod.ts";
import {
  type Configuration,
  CONFIGURATION_KEY,
  decodeConfiguration,
  type RevisionMetadata,
} from "../tables/mod.ts";
import { ARCHIVE_PREFIX, EditOutcome, keyHashes } from "./revision_store.ts";

/** The outcome that was reported to an operator for one attempt at an edit. */
export interface ReportedOutcome {
  readonly attempt: string;
  readonly on: number;
  readonly ending: EditOutcome;
  readonly winner: Option<RevisionMetadata>;
}

/** All contradictions between the stored history and the reported outcomes. */
export function checkHistory(
  entries: readonly KeyValueEntry[],
  outcomes: readonly ReportedOutcome[],
): readonly string[] {
  const history = readHistory(entries);
  const byAttempt = new Map(history.map((one) => [one.attempt, one.revision]));
  return [
    ...history
      .filter((one, at) => one.revision !== at + 1)
      .map((one) => `revision ${one.revision} is out of sequence`),
    ...(byAttempt.size === history.length ? [] : ["an edit was stored twice"]),
    ...outcomes.flatMap((outcome) => checkOutcome(outcome, history)),
  ];
}

/** All keys that were granted again after they were withdrawn. */
export function regrantedKeys(
  entries: readonly KeyValueEntry[],
): readonly string[] {
  const withdrawn = new Set<string>();
  const found: string[] = [];
  let held: ReadonlySet<string> = new Set();
  for (const { revision, tables } of readHistory(entries)) {
    const hashes = keyHashes(tables);
    for (const hash of held) if (!hashes.has(hash)) withdrawn.add(hash);
    for (const hash of hashes) {
      if (withdrawn.has(hash)) found.push(`${hash} regranted in ${revision}`);
    }
    held = hashes;
  }
  return found;
}

/** The revisions in order. A head that is also archived counts once. */
export function readHistory(
  entries: readonly KeyValueEntry[],
): readonly Configuration[] {
  const texts = entries
    .filter(({ key }) =>
      key === CONFIGURATION_KEY || key.startsWith(ARCHIVE_PREFIX)
    )
    .map((entry) => entry.value);
  return [...new Set(texts)]
    .map((text) => decodeConfiguration(text).unwrap())
    .sort((a, b) => a.revision - b.revision);
}

function checkOutcome(
  outcome: ReportedOutcome,
  history: readonly Configuration[],
): readonly string[] {
  const { attempt, on, ending, winner } = outcome;
  const at = history.find((one) => one.attempt === attempt)?.revision;
  const faults: string[] = [];
  if (at !== undefined && at !== on + 1) {
    faults.push(`${attempt}, based on ${on}, was stored as ${at}`);
  }
  const isStored = at !== undefined;
  if (
    ending !== EditOutcome.Unknown &&
    isStored !== (ending === EditOutcome.Accepted)
  ) {
    faults.push(`${attempt} was reported ${ending}, stored: ${isStored}`);
  }
  const actualWinner = history.find((one) => one.revision === on + 1);
  if (isSome(winner) && winner.value.attempt !== actualWinner?.attempt) {
    faults.push(`${attempt} was reported the wrong winner over ${on}`);
  }
  return faults;
}
