/**
 * The HTTP admin pages: the status of this daemon or of all daemons, and the
 * configuration revision each daemon has in force. All answers are limited in
 * size, and requests to other daemons have a timeout.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import { isNone } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { activeConfigurationKey } from "../config/mod.ts";
import { dispatchKey, type UpstreamStatus } from "../dispatch/mod.ts";
import { gatewayKey } from "../gateway/mod.ts";
import {
  type Kernel,
  logger,
  type Props,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { type Member, peersKey } from "../peers/mod.ts";
import { Role, VmState } from "../outside/mod.ts";
import type { Priority, Tables } from "../tables/mod.ts";
import { refuseUnauthorized } from "./operator_authorization.ts";
import {
  Admin,
  adminKey,
  type DaemonStatus,
  type InForceStatus,
  type MemberRevision,
} from "./mod.ts";

const REVISION_TIMEOUT_MS = 1_000;
const STATUS_TIMEOUT_MS = 2_000;
const MAX_CONCURRENT_REQUESTS = 64;
const MAX_PART_BYTES = 262_144;
const MAX_STATUS_BYTES = 1_048_576;
const MAX_CLUSTER_STATUS_BYTES = 8_388_608;
const MAX_VM_LIST_AGE_MS = 2_000;

const log = logger("admin");

const revisionSchema = z.object({
  revision: z.int().min(0),
  ageMs: z.number().nullable(),
});
const querySchema = z.object({
  all: z.string().optional(),
  part: z.string().max(64).optional(),
  revision: z.coerce.number().int().min(0).optional(),
});

type Query = z.infer<typeof querySchema>;

/** An organisation's access to a route, as the status page shows it. */
interface OrganisationAccess {
  readonly tenant: string;
  readonly route: string;
  readonly pool: string;
  readonly priority: Priority;
  readonly weight: number;
  /** Number of keys that the organisation has on the route. */
  readonly keys: number;
}

/** A member's last known revision; never decreases within an incarnation. */
interface CachedRevision {
  readonly incarnation: string;
  readonly revision: number;
}

/** `Admin` on the gateway's HTTP server; queries members over peer links. */
export class AdminPages extends Admin {
  override readonly props: Props = {
    peerHandlers: {
      "admin.revision": () => Promise.resolve(this.#ownRevision()),
      "admin.status": (body) =>
        Promise.resolve(
          this.#statusJson(typeof body === "string" ? body : undefined),
        ),
    },
  };
  readonly #kernel: Kernel;
  #cachedRevisions: ReadonlyMap<string, CachedRevision> = new Map();
  #listed: { at: number; vms: readonly string[] | null } = {
    at: -Infinity,
    vms: null,
  };

  constructor(options: { kernel: Kernel }) {
    super();
    this.#kernel = options.kernel;
  }

  override start(): Promise<void> {
    this.#serve("/admin/status", async ({ all, part }, reply) => {
      reply.type("application/json");
      return all === "1" ? await this.#all(part) : this.#statusJson(part);
    });
    this.#serve(
      "/admin/in-force",
      async ({ revision }) => await this.inForceStatus(revision),
    );
    return Promise.resolve();
  }

  status(part?: string): DaemonStatus {
    const { settings, incarnation, draining, plugins } = this.#kernel;
    const parts = [
      ["upstreams", () => this.#upstreams()] as const,
      ["tenants", () => this.#organisations()] as const,
      ...plugins.map(([name, plugin]) => [name, plugin.props.status] as const),
    ];
    const shown = parts.filter(([name, status]) =>
      status !== undefined && (part ?? name) === name
    );
    return {
      vm: settings.vm,
      incarnation,
      availabilityZone: settings.availabilityZone,
      draining,
      revision: this.#revision,
      parts: Object.fromEntries(
        shown.map(([name, status]) => [name, partStatus(status)]),
      ),
    };
  }

  async inForceStatus(wanted = Infinity): Promise<InForceStatus> {
    const members = this.#peers.members();
    const [revisions, missing] = await Promise.all([
      mapConcurrently(members, (member) => this.#revisionOf(member, wanted)),
      this.#missing(members),
    ]);
    this.#cachedRevisions = new Map(
      members.flatMap(({ vm, incarnation }, at) => {
        const revision = revisions[at]?.revision ?? null;
        return revision === null ? [] : [[vm, { incarnation, revision }]];
      }),
    );
    return { revision: this.#revision, members: revisions, missing };
  }

  #serve(
    path: string,
    answer: (parameters: Query, reply: FastifyReply) => Promise<unknown>,
  ): void {
    const gateway = this.#kernel.get(gatewayKey);
    const { operatorSha256 } = this.#kernel.settings;
    gateway.server.get(path, async (request, reply) => {
      const refusal = refuseUnauthorized(request, operatorSha256);
      if (refusal !== undefined) return gateway.refuse(reply, refusal);
      const parsed = querySchema.safeParse(request.query);
      if (parsed.success) return await answer(parsed.data, reply);
      return gateway.refuse(reply, badQuery());
    });
  }

  get #peers() {
    return this.#kernel.get(peersKey);
  }

  get #current() {
    return this.#kernel.get(activeConfigurationKey).current();
  }

  get #revision(): number {
    return isNone(this.#current) ? 0 : this.#current.value.revision;
  }

  get #tables(): Tables {
    return isNone(this.#current)
      ? { routes: [], pools: [] }
      : this.#current.value.tables;
  }

  /** The upstreams of all pools, in this daemon's view. */
  #upstreams(): readonly UpstreamStatus[] {
    const dispatch = this.#kernel.get(dispatchKey);
    return this.#tables.pools.flatMap((pool) => dispatch.upstreams(pool.name));
  }

  /** The routes that each organisation may call. Contains no keys. */
  #organisations(): readonly OrganisationAccess[] {
    return this.#tables.routes.flatMap((route) =>
      route.tenants.map(({ tenant, weight }) => ({
        tenant,
        route: route.name,
        pool: route.pool,
        priority: route.priority,
        weight,
        keys: route.keys.filter((key) => key.tenant === tenant).length,
      }))
    );
  }

  #ownRevision(): z.infer<typeof revisionSchema> {
    const ageMs = this.#kernel.get(activeConfigurationKey).ageMs();
    return {
      revision: this.#revision,
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    };
  }

  async #revisionOf(member: Member, wanted: number): Promise<MemberRevision> {
    const { vm, incarnation } = member;
    const cached = this.#cachedRevisions.get(vm);
    if (cached?.incarnation === incarnation && cached.revision >= wanted) {
      return { vm, revision: cached.revision, ageMs: null };
    }
    const answer = await this.#peers.ask(vm, "admin.revision", {}, {
      timeoutMs: REVISION_TIMEOUT_MS,
    });
    const parsed = revisionSchema.safeParse(answer.ok ? answer.val : undefined);
    return parsed.success
      ? { vm, ...parsed.data }
      : { vm, revision: null, ageMs: null };
  }

  /** Daemons that the platform lists as live but that aren't members. */
  async #missing(
    members: readonly Member[],
  ): Promise<readonly string[] | null> {
    const now = this.#kernel.clock.now();
    if (now - this.#listed.at > MAX_VM_LIST_AGE_MS) {
      this.#listed = { at: now, vms: await this.#listDaemons() };
    }
    const memberVms = new Set(members.map((member) => member.vm));
    return this.#listed.vms?.filter((vm) => !memberVms.has(vm)) ?? null;
  }

  async #listDaemons(): Promise<readonly string[] | null> {
    const list = await this.#kernel.platform.directory.list();
    if (list.err) return null;
    return list.val
      .filter((vm) => vm.role === Role.Entry && vm.standing === VmState.Live)
      .map((vm) => vm.id);
  }

  #statusJson(part?: string): string {
    const status = this.status(part);
    const text = JSON.stringify(status);
    if (Buffer.byteLength(text) <= MAX_STATUS_BYTES) return text;
    const names = Object.keys(status.parts).map((name) => [name, tooLarge()]);
    return JSON.stringify({ ...status, parts: Object.fromEntries(names) });
  }

  /** Every member's status as JSON, with null parts if it didn't answer. */
  async #all(part?: string): Promise<string> {
    const members = this.#peers.members();
    let remainingBytes = MAX_CLUSTER_STATUS_BYTES;
    const texts = await mapConcurrently(members, async ({ vm }) => {
      const answer = await this.#peers.ask(vm, "admin.status", part, {
        timeoutMs: STATUS_TIMEOUT_MS,
      });
      const name = JSON.stringify(vm);
      const text = answer.andThen(checkedJson);
      if (text.err) return `{"vm":${name},"parts":null}`;
      remainingBytes -= Buffer.byteLength(text.val);
      return remainingBytes < 0 ? `{"vm":${name},"parts":"omitted"}` : text.val;
    });
    return `{"members":[${texts.join(",")}]}`;
  }
}

/** Runs `task` for each item with limited concurrency, keeping the order. */
async function mapConcurrently<T, U>(
  items: readonly T[],
  task: (item: T) => Promise<U>,
): Promise<readonly U[]> {
  const results: U[] = [];
  let next = 0;
  const runWorker = async () => {
    while (next < items.length) {
      const at = next++;
      results[at] = await task(items[at]);
    }
  };
  const workers = Math.min(MAX_CONCURRENT_REQUESTS, items.length);
  await Promise.all(Array.from({ length: workers }, runWorker));
  return results;
}

/** A plug-in's status, or a marker if it fails or is too large. */
function partStatus(status: (() => unknown) | undefined): unknown {
  try {
    const value = status?.() ?? null;
    const bytes = Buffer.byteLength(JSON.stringify(value));
    return bytes <= MAX_PART_BYTES ? value : tooLarge();
  } catch (error) {
    // One failing plug-in must not hide the status of the others.
    log("status-failed", { error: String(error) });
    return { failed: true };
  }
}

function badQuery(): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.BadRequest,
    message: "The page doesn't take this query",
  });
}

function tooLarge() {
  return { tooLarge: true };
}

function checkedJson(answer: unknown): Result<string, unknown> {
  const fits = typeof answer === "string" &&
    Buffer.byteLength(answer) <= MAX_STATUS_BYTES;
  if (!fits) return Err(undefined);
  try {
    JSON.parse(answer);
    return Ok(answer);
  } catch {
    // A member whose answer isn't JSON is treated as one that didn't answer.
    return Err(undefined);
  }
}

register({
  key: adminKey,
  requires: [gatewayKey, peersKey, activeConfigurationKey, dispatchKey],
  create: (kernel) => new AdminPages({ kernel }),
});
