/**
 * The claims plug-in: sends each claim to the daemon that owns its shard. Any
 * daemon may serve a shard; ownership only limits the number of its writers.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import {
  type Kernel,
  logger,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { ClaimLog } from "./claim_log.ts";
import {
  type Claim,
  type ClaimOutcome,
  type ClaimResult,
  Claims,
  claimsKey,
  ClaimState,
  type FoundClaim,
  type IdempotencyScope,
} from "./mod.ts";
import {
  type ClaimRecord,
  OutcomeSchema,
  RecordKind,
  RecordSchema,
} from "./record.ts";

const SHARD_COUNT = 16;
const REQUEST_TIMEOUT_MS = 2_500;
const APPEND_TIMEOUT_MS = 1_000;
const MAX_REQUEST_ATTEMPTS = 3;
const MAX_APPEND_ATTEMPTS = 10;
const RETRY_MS = 100;
const DRAIN_TIMEOUT_MS = 2_000;

const log = logger("claims");

const ClaimBody = z.object({
  shard: z.int().min(0).max(SHARD_COUNT - 1),
  claim: z.object({
    id: z.string(),
    attempt: z.string(),
    fingerprint: z.string(),
  }),
});

const AppendBody = z.object({
  shard: z.int().min(0).max(SHARD_COUNT - 1),
  record: RecordSchema,
});

const FindBody = z.object({
  shard: z.int().min(0).max(SHARD_COUNT - 1),
  id: z.string(),
});

const RefusalSchema = z.object({
  verdict: z.enum(Verdict),
  reason: z.enum(Reason),
  message: z.string(),
  retryAfterMs: z.number(),
});

const ClaimAnswer = z.union([
  z.object({ refused: RefusalSchema }),
  z.object({ standing: z.literal(ClaimState.Granted) }),
  z.object({ standing: z.literal(ClaimState.Held) }),
  z.object({ standing: z.literal(ClaimState.Mismatch) }),
  z.object({ standing: z.literal(ClaimState.Ended), outcome: OutcomeSchema }),
]);

const FindAnswer = z.union([
  z.object({ refused: RefusalSchema }),
  z.object({ claimed: z.boolean(), outcome: OutcomeSchema.nullable() }),
]);

/** Claims stored in one log for each shard. */
export class ShardedClaims extends Claims {
  override readonly props = {
    peerHandlers: {
      "claims.claim": (body: unknown) => this.#onClaim(body),
      "claims.append": (body: unknown) => this.#onAppend(body),
      "claims.find": (body: unknown) => this.#onFind(body),
    },
    status: () => ({
      shards: [...this.#logs.keys()],
      remembered: [...this.#logs.values()]
        .reduce((sum, { size }) => sum + size, 0),
    }),
  };
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #writes;
  readonly #records;
  readonly #results;
  readonly #logs = new Map<number, ClaimLog>();
  readonly #appends = new Set<Promise<void>>();
  readonly #stop = new AbortController();
  #removeListener = () => {};
  #seq = 0;

  constructor(options: { kernel: Kernel }) {
    super();
    const { kernel } = options;
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#writes = kernel.counter(
      "toucanwind_claim_writes_total",
      "Writes of claim segments to the platform's service",
    );
    this.#records = kernel.counter(
      "toucanwind_claim_records_total",
      "Claims, releases and outcomes in those writes",
    );
    this.#results = kernel.counter(
      "toucanwind_claims_total",
      "Claims asked for by this daemon, by their standing",
      ["standing"],
    );
  }

  override start(): Promise<void> {
    this.#removeListener = this.#peers.onChange(() => this.#onOwnersChanged());
    return Promise.resolve();
  }

  /** Completes the appends to owners, then flushes this daemon's logs. */
  override async drain(): Promise<void> {
    const end = new AbortController();
    const cancel = this.#kernel.clock.after(
      DRAIN_TIMEOUT_MS,
      () => end.abort(),
    );
    const appends = Promise.all(this.#appends);
    await Promise.race([
      appends,
      this.#kernel.clock.sleep(DRAIN_TIMEOUT_MS, end.signal),
    ]);
    for (const shard of this.#logs.values()) await shard.flush(end.signal);
    cancel();
    end.abort();
  }

  override stop(): Promise<void> {
    this.#removeListener();
    this.#stop.abort();
    for (const shard of this.#logs.values()) shard.stop();
    return Promise.resolve();
  }

  async claim(
    scope: IdempotencyScope,
    fingerprint: string,
  ): Promise<Result<ClaimResult, Refusal>> {
    const id = idOf(scope);
    const attempt = `${this.#kernel.incarnation}/${++this.#seq}`;
    const claim = { id, attempt, fingerprint };
    const answer = await this.#askClaim(claim);
    this.#results.inc({
      standing: answer.ok ? answer.val.standing : "refused",
    });
    return answer;
  }

  settle(claim: Claim, outcome: ClaimOutcome): void {
    this.#appendInBackground({ kind: RecordKind.Settled, claim, outcome });
  }

  release(claim: Claim): void {
    this.#appendInBackground({ kind: RecordKind.Released, claim });
  }

  async find(
    scope: IdempotencyScope,
  ): Promise<Result<O.Option<FoundClaim>, Refusal>> {
    const id = idOf(scope);
    const answer = await this.#askOwner("claims.find", {
      shard: shardOf(id),
      id,
    });
    if (answer.err) return answer;
    const found = FindAnswer.parse(answer.val);
    if ("refused" in found) return Err(new Refusal(found.refused));
    if (!found.claimed) return Ok(O.none);
    return Ok(O.some({ outcome: O.fromNullable(found.outcome) }));
  }

  async #askClaim(claim: Claim): Promise<Result<ClaimResult, Refusal>> {
    const shard = shardOf(claim.id);
    const answer = await this.#askOwner("claims.claim", { shard, claim });
    if (answer.err) {
      // The claim may still be written. This attempt never runs, so release it.
      if (answer.val.verdict === Verdict.MayHaveRun) this.release(claim);
      return Err(OWNER_UNREACHABLE);
    }
    const result = ClaimAnswer.parse(answer.val);
    if ("refused" in result) return Err(new Refusal(result.refused));
    if (result.standing === ClaimState.Granted) return Ok({ ...result, claim });
    return Ok(result);
  }

  /**
   * Sends a request to the owner, and to its successors as long as the request
   * has certainly not arrived.
   */
  async #askOwner(
    kind: string,
    body: { readonly shard: number; readonly [field: string]: unknown },
  ): Promise<Result<unknown, Refusal>> {
    let answer: Result<unknown, Refusal> = Err(OWNER_UNREACHABLE);
    for (
      let n = 0;
      n < MAX_REQUEST_ATTEMPTS && !this.#stop.signal.aborted;
      n++
    ) {
      if (n > 0) await this.#kernel.clock.sleep(RETRY_MS, this.#stop.signal);
      const owner = this.#ownerOf(body.shard, n);
      if (owner === undefined) continue;
      const options = {
        timeoutMs: REQUEST_TIMEOUT_MS,
        signal: this.#stop.signal,
      };
      answer = await this.#peers.ask(owner, kind, body, options);
      if (answer.ok || answer.val.verdict !== Verdict.NotRun) break;
    }
    return answer;
  }

  /** Sends a record to the owner in the background. Appends are idempotent. */
  #appendInBackground(record: ClaimRecord) {
    const append = this.#append(record);
    this.#appends.add(append);
    void append.then(() => this.#appends.delete(append));
  }

  async #append(record: ClaimRecord): Promise<void> {
    const shard = shardOf(record.claim.id);
    const options = { timeoutMs: APPEND_TIMEOUT_MS, signal: this.#stop.signal };
    for (
      let n = 0;
      n < MAX_APPEND_ATTEMPTS && !this.#stop.signal.aborted;
      n++
    ) {
      if (n > 0) await this.#kernel.clock.sleep(RETRY_MS, this.#stop.signal);
      const owner = this.#ownerOf(shard, n);
      if (owner === undefined) continue;
      const answer = await this.#peers
        .ask(owner, "claims.append", { shard, record }, options);
      if (answer.ok) return;
    }
    log("claim record not delivered to shard owner", {
      shard,
      kind: record.kind,
    });
  }

  /**
   * The owner of a shard, or after `failed` attempts one of its successors. A
   * dead owner stays ranked first until it is detected; any daemon may serve.
   */
  #ownerOf(shard: number, failed = 0): string | undefined {
    const ranked = this.#peers.rankedForDuty(`claims/${shard}`);
    return ranked[failed % ranked.length]?.vm;
  }

  async #onClaim(body: unknown): Promise<unknown> {
    const { shard, claim } = ClaimBody.parse(body);
    const claimed = await this.#logOf(shard).claim(claim);
    return claimed.ok ? claimed.val : { refused: { ...claimed.val } };
  }

  #onAppend(body: unknown): Promise<unknown> {
    const { shard, record } = AppendBody.parse(body);
    this.#logOf(shard).append(record);
    return Promise.resolve({ appended: true });
  }

  async #onFind(body: unknown): Promise<unknown> {
    const { shard, id } = FindBody.parse(body);
    const found = await this.#logOf(shard).find(id);
    if (found.err) return { refused: { ...found.val } };
    const outcome = O.toNullable(
      O.chain(({ outcome }: FoundClaim) => outcome)(found.val),
    );
    return { claimed: O.isSome(found.val), outcome };
  }

  #logOf(shard: number): ClaimLog {
    const existing = this.#logs.get(shard);
    if (existing !== undefined) return existing;
    const { clock, platform, settings, incarnation } = this.#kernel;
    const created = new ClaimLog({
      keyValue: platform.keyValue,
      clock,
      shard,
      author: `${incarnation}/${++this.#seq}`,
      retentionMs: settings.timing.claimRetentionMs,
      onWrite: (records) => {
        this.#writes.inc();
        this.#records.inc(records);
      },
    });
    this.#logs.set(shard, created);
    return created;
  }

  /** Loads the logs of newly owned shards; drops idle logs of other owners. */
  #onOwnersChanged() {
    const { vm } = this.#peers.self;
    const settled = this.#peers.settled();
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const owned = this.#ownerOf(shard) === vm;
      const existing = this.#logs.get(shard);
      if (owned && settled) void this.#logOf(shard).preload();
      else if (!owned && existing?.idle) this.#logs.delete(shard);
    }
  }
}

function idOf({ organisation, route, key }: IdempotencyScope): string {
  return createHash("sha256")
    .update(JSON.stringify([organisation, route, key]))
    .digest("base64url").slice(0, 24);
}

function shardOf(id: string): number {
  return Buffer.from(id.slice(0, 4), "base64url")[0] % SHARD_COUNT;
}

const OWNER_UNREACHABLE = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.PeerUnreachable,
  message: "The daemon that keeps the claim did not answer",
  retryAfterMs: 500,
});

register({
  key: claimsKey,
  requires: [peersKey],
  create: (kernel) => new ShardedClaims({ kernel }),
});
