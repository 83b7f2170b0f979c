/**
 * The claims plug-in: finds the daemon that owns a claim's shard and asks it.
 * Any daemon may serve a shard; owning only keeps the writers of one few.
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

const SHARDS = 16;
const ASK_TIMEOUT_MS = 2_500;
const TELL_TIMEOUT_MS = 1_000;
const ASK_TRIES = 3;
const TELL_TRIES = 10;
const RETRY_MS = 100;
const FLUSH_MS = 2_000;

const log = logger("claims");

const ClaimBody = z.object({
  shard: z.int().min(0).max(SHARDS - 1),
  claim: z.object({
    id: z.string(),
    attempt: z.string(),
    fingerprint: z.string(),
  }),
});

const AppendBody = z.object({
  shard: z.int().min(0).max(SHARDS - 1),
  record: RecordSchema,
});

const FindBody = z.object({
  shard: z.int().min(0).max(SHARDS - 1),
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

/** Claims kept in logs, one for each shard. */
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
  readonly #standings;
  readonly #logs = new Map<number, ClaimLog>();
  readonly #telling = new Set<Promise<void>>();
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
    this.#standings = kernel.counter(
      "toucanwind_claims_total",
      "Claims asked for by this daemon, by their standing",
      ["standing"],
    );
  }

  override start(): Promise<void> {
    this.#removeListener = this.#peers.onChange(() => this.#reassign());
    return Promise.resolve();
  }

  /** Hands on what other daemons own, then writes what this one owes. */
  override async drain(): Promise<void> {
    const end = new AbortController();
    const cancel = this.#kernel.clock.after(FLUSH_MS, () => end.abort());
    const told = Promise.all(this.#telling);
    await Promise.race([told, this.#kernel.clock.sleep(FLUSH_MS, end.signal)]);
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
    this.#standings.inc({
      standing: answer.ok ? answer.val.standing : "refused",
    });
    return answer;
  }

  settle(claim: Claim, outcome: ClaimOutcome): void {
    this.#tell({ kind: RecordKind.Settled, claim, outcome });
  }

  release(claim: Claim): void {
    this.#tell({ kind: RecordKind.Released, claim });
  }

  async find(
    scope: IdempotencyScope,
  ): Promise<Result<O.Option<FoundClaim>, Refusal>> {
    const id = idOf(scope);
    const answer = await this.#ask("claims.find", { shard: shardOf(id), id });
    if (answer.err) return answer;
    const found = FindAnswer.parse(answer.val);
    if ("refused" in found) return Err(new Refusal(found.refused));
    if (!found.claimed) return Ok(O.none);
    return Ok(O.some({ outcome: O.fromNullable(found.outcome) }));
  }

  async #askClaim(claim: Claim): Promise<Result<ClaimResult, Refusal>> {
    const shard = shardOf(claim.id);
    const answer = await this.#ask("claims.claim", { shard, claim });
    if (answer.err) {
      // It may land later; this attempt is never run.
      if (answer.val.verdict === Verdict.MayHaveRun) this.release(claim);
      return Err(UNANSWERED);
    }
    const told = ClaimAnswer.parse(answer.val);
    if ("refused" in told) return Err(new Refusal(told.refused));
    if (told.standing === ClaimState.Granted) return Ok({ ...told, claim });
    return Ok(told);
  }

  /** Asks the owner, then others, as long as nobody got the question. */
  async #ask(
    kind: string,
    body: { readonly shard: number; readonly [field: string]: unknown },
  ): Promise<Result<unknown, Refusal>> {
    let answer: Result<unknown, Refusal> = Err(UNANSWERED);
    for (let n = 0; n < ASK_TRIES && !this.#stop.signal.aborted; n++) {
      if (n > 0) await this.#kernel.clock.sleep(RETRY_MS, this.#stop.signal);
      const owner = this.#ownerOf(body.shard, n);
      if (owner === undefined) continue;
      const options = { timeoutMs: ASK_TIMEOUT_MS, signal: this.#stop.signal };
      answer = await this.#peers.ask(owner, kind, body, options);
      if (answer.ok || answer.val.verdict !== Verdict.NotRun) break;
    }
    return answer;
  }

  /** Brings a record to the owner in the background; again is harmless. */
  #tell(record: ClaimRecord) {
    const told = this.#told(record);
    this.#telling.add(told);
    void told.then(() => this.#telling.delete(told));
  }

  async #told(record: ClaimRecord): Promise<void> {
    const shard = shardOf(record.claim.id);
    const options = { timeoutMs: TELL_TIMEOUT_MS, signal: this.#stop.signal };
    for (let n = 0; n < TELL_TRIES && !this.#stop.signal.aborted; n++) {
      if (n > 0) await this.#kernel.clock.sleep(RETRY_MS, this.#stop.signal);
      const owner = this.#ownerOf(shard, n);
      if (owner === undefined) continue;
      const answer = await this.#peers
        .ask(owner, "claims.append", { shard, record }, options);
      if (answer.ok) return;
    }
    log("untold", { shard, kind: record.kind });
  }

  /**
   * The owner of a shard, or after `failed` tries one of its successors: a dead
   * owner is ranked first until its death is noticed, and any daemon may serve.
   */
  #ownerOf(shard: number, failed = 0): string | undefined {
    const ranked = this.#peers.ranked(`claims/${shard}`);
    return ranked[failed % ranked.length]?.vm;
  }

  async #onClaim(body: unknown): Promise<unknown> {
    const { shard, claim } = ClaimBody.parse(body);
    const claimed = await this.#log(shard).claim(claim);
    return claimed.ok ? claimed.val : { refused: { ...claimed.val } };
  }

  #onAppend(body: unknown): Promise<unknown> {
    const { shard, record } = AppendBody.parse(body);
    this.#log(shard).append(record);
    return Promise.resolve({ appended: true });
  }

  async #onFind(body: unknown): Promise<unknown> {
    const { shard, id } = FindBody.parse(body);
    const found = await this.#log(shard).find(id);
    if (found.err) return { refused: { ...found.val } };
    const outcome = O.toNullable(
      O.chain(({ outcome }: FoundClaim) => outcome)(found.val),
    );
    return { claimed: O.isSome(found.val), outcome };
  }

  #log(shard: number): ClaimLog {
    const known = this.#logs.get(shard);
    if (known !== undefined) return known;
    const { clock, platform, settings, incarnation } = this.#kernel;
    const made = new ClaimLog({
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
    this.#logs.set(shard, made);
    return made;
  }

  /** Forgets what others own now, and reads what this daemon has won. */
  #reassign() {
    const { vm } = this.#peers.self;
    const settled = this.#peers.settled();
    for (let shard = 0; shard < SHARDS; shard++) {
      const owned = this.#ownerOf(shard) === vm;
      const known = this.#logs.get(shard);
      if (owned && settled) void this.#log(shard).prepare();
      else if (!owned && known?.idle) this.#logs.delete(shard);
    }
  }
}

function idOf({ organisation: tenant, route, key }: IdempotencyScope): string {
  return createHash("sha256")
    .update(JSON.stringify([tenant, route, key]))
    .digest("base64url").slice(0, 24);
}

function shardOf(id: string): number {
  return Buffer.from(id.slice(0, 4), "base64url")[0] % SHARDS;
}

const UNANSWERED = new Refusal({
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
