/**
 * The admin pages: status of this daemon or of all, and which revision of the
 * configuration is in force where. All answers are bounded in size and time.
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
import { admit } from "./admission.ts";
import {
  Admin,
  adminKey,
  type Force,
  type MemberRevision,
  type Status,
} from "./mod.ts";

const REVISION_TIMEOUT_MS = 1_000;
const STATUS_TIMEOUT_MS = 2_000;
const MAX_CONCURRENT = 64;
const MAX_PART_BYTES = 262_144;
const MAX_STATUS_BYTES = 1_048_576;
const MAX_ALL_BYTES = 8_388_608;
const LIST_AGE_MS = 2_000;

const log = logger("admin");

const revisionAnswer = z.object({
  revision: z.int().min(0),
  ageMs: z.number().nullable(),
});
const query = z.object({
  all: z.string().optional(),
  part: z.string().max(64).optional(),
  revision: z.coerce.number().int().min(0).optional(),
});

type Query = z.infer<typeof query>;

/** A tenant on a route, as the status page shows it. */
interface Contract {
  readonly tenant: string;
  readonly route: string;
  readonly pool: string;
  readonly priority: Priority;
  readonly weight: number;
  /** Number of keys. */
  readonly keys: number;
}

/** A member's revision, remembered; it only grows within an incarnation. */
interface Known {
  readonly incarnation: string;
  readonly revision: number;
}

/** `Admin` over the gateway's server and the peers. */
export class AdminPages extends Admin {
  override readonly props: Props = {
    peerHandlers: {
      "admin.revision": () => Promise.resolve(this.#ownRevision()),
      "admin.status": (body) =>
        Promise.resolve(
          this.#statusText(typeof body === "string" ? body : undefined),
        ),
    },
  };
  readonly #kernel: Kernel;
  #known: ReadonlyMap<string, Known> = new Map();
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
      return all === "1" ? await this.#all(part) : this.#statusText(part);
    });
    this.#serve(
      "/admin/in-force",
      async ({ revision }) => await this.force(revision),
    );
    return Promise.resolve();
  }

  status(part?: string): Status {
    const { settings, incarnation, draining, plugins } = this.#kernel;
    const parts = [
      ["upstreams", () => this.#upstreams()] as const,
      ["tenants", () => this.#tenants()] as const,
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
        shown.map(([name, status]) => [name, bounded(status)]),
      ),
    };
  }

  async force(wanted = Infinity): Promise<Force> {
    const members = this.#peers.members();
    const [revisions, missing] = await Promise.all([
      each(members, (member) => this.#revisionOf(member, wanted)),
      this.#missing(members),
    ]);
    this.#known = new Map(
      members.flatMap(({ vm, incarnation }, at) => {
        const revision = revisions[at]?.revision ?? null;
        return revision === null ? [] : [[vm, { incarnation, revision }]];
      }),
    );
    return { revision: this.#revision, members: revisions, missing };
  }

  #serve(
    path: string,
    answer: (query: Query, reply: FastifyReply) => Promise<unknown>,
  ): void {
    const gateway = this.#kernel.get(gatewayKey);
    const { operatorSha256 } = this.#kernel.settings;
    gateway.server.get(path, async (request, reply) => {
      const refusal = admit(request, operatorSha256);
      if (refusal !== undefined) return gateway.refuse(reply, refusal);
      const asked = query.safeParse(request.query);
      if (asked.success) return await answer(asked.data, reply);
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

  /** The upstreams of all pools, as this daemon knows them. */
  #upstreams(): readonly UpstreamStatus[] {
    const dispatch = this.#kernel.get(dispatchKey);
    return this.#tables.pools.flatMap((pool) => dispatch.upstreams(pool.name));
  }

  /** Who may call what, without any key. */
  #tenants(): readonly Contract[] {
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

  #ownRevision(): z.infer<typeof revisionAnswer> {
    const ageMs = this.#kernel.get(activeConfigurationKey).ageMs();
    return {
      revision: this.#revision,
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    };
  }

  async #revisionOf(member: Member, wanted: number): Promise<MemberRevision> {
    const { vm, incarnation } = member;
    const known = this.#known.get(vm);
    if (known?.incarnation === incarnation && known.revision >= wanted) {
      return { vm, revision: known.revision, ageMs: null };
    }
    const answer = await this.#peers.ask(vm, "admin.revision", {}, {
      timeoutMs: REVISION_TIMEOUT_MS,
    });
    const read = revisionAnswer.safeParse(answer.ok ? answer.val : undefined);
    return read.success
      ? { vm, ...read.data }
      : { vm, revision: null, ageMs: null };
  }

  /** Live daemons of the platform's list that aren't members. */
  async #missing(
    members: readonly Member[],
  ): Promise<readonly string[] | null> {
    const now = this.#kernel.clock.now();
    if (now - this.#listed.at > LIST_AGE_MS) {
      this.#listed = { at: now, vms: await this.#list() };
    }
    const known = new Set(members.map((member) => member.vm));
    return this.#listed.vms?.filter((vm) => !known.has(vm)) ?? null;
  }

  async #list(): Promise<readonly string[] | null> {
    const list = await this.#kernel.platform.directory.list();
    if (list.err) return null;
    return list.val
      .filter((vm) => vm.role === Role.Entry && vm.standing === VmState.Live)
      .map((vm) => vm.id);
  }

  #statusText(part?: string): string {
    const status = this.status(part);
    const text = JSON.stringify(status);
    if (Buffer.byteLength(text) <= MAX_STATUS_BYTES) return text;
    const names = Object.keys(status.parts).map((name) => [name, tooLarge()]);
    return JSON.stringify({ ...status, parts: Object.fromEntries(names) });
  }

  /** Every member's status as JSON; a member without answer is `null`. */
  async #all(part?: string): Promise<string> {
    const members = this.#peers.members();
    let left = MAX_ALL_BYTES;
    const texts = await each(members, async ({ vm }) => {
      const answer = await this.#peers.ask(vm, "admin.status", part, {
        timeoutMs: STATUS_TIMEOUT_MS,
      });
      const name = JSON.stringify(vm);
      const text = answer.andThen(jsonText);
      if (text.err) return `{"vm":${name},"parts":null}`;
      left -= Buffer.byteLength(text.val);
      return left < 0 ? `{"vm":${name},"parts":"omitted"}` : text.val;
    });
    return `{"members":[${texts.join(",")}]}`;
  }
}

/** Runs `task` for each item, a bounded number at a time, keeping order. */
async function each<T, U>(
  items: readonly T[],
  task: (item: T) => Promise<U>,
): Promise<readonly U[]> {
  const results: U[] = [];
  let next = 0;
  const work = async () => {
    while (next < items.length) {
      const at = next++;
      results[at] = await task(items[at]);
    }
  };
  const workers = Math.min(MAX_CONCURRENT, items.length);
  await Promise.all(Array.from({ length: workers }, work));
  return results;
}

/** A plug-in's status, unless it fails or is too large. */
function bounded(status: (() => unknown) | undefined): unknown {
  try {
    const value = status?.() ?? null;
    const bytes = Buffer.byteLength(JSON.stringify(value));
    return bytes <= MAX_PART_BYTES ? value : tooLarge();
  } catch (error) {
    // The page is for operators only: the other parts are shown all the same.
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

function jsonText(answer: unknown): Result<string, unknown> {
  const fits = typeof answer === "string" &&
    Buffer.byteLength(answer) <= MAX_STATUS_BYTES;
  if (!fits) return Err(undefined);
  try {
    JSON.parse(answer);
    return Ok(answer);
  } catch {
    // A member that doesn't answer in JSON counts as one without answer.
    return Err(undefined);
  }
}

register({
  key: adminKey,
  requires: [gatewayKey, peersKey, activeConfigurationKey, dispatchKey],
  create: (kernel) => new AdminPages({ kernel }),
});
