/**
 * Registers this daemon under a leased key, by which the others find it where
 * the platform's list of VMs contains no daemons.
 *
 * @module
 */

import { z } from "zod";
import {
  type Kernel,
  logger,
  MAX_ENTRY_CHARS,
  parseJson,
  Plugin,
  PluginKey,
  register,
} from "../kernel/mod.ts";
import {
  Fault,
  type KeyValueEntry,
  Role,
  type Vm,
  VmState,
} from "../outside/mod.ts";

const log = logger("presence");

/** Prefix of the daemons' presence keys. */
export const PRESENCE_PREFIX = "toucanwind/members/";

/** A daemon that stops renewing its lease is removed after this time. */
const PRESENCE_LEASE_MS = 6000;

/** Three successive renewals may fail before the lease expires. */
const PRESENCE_RENEWAL_MS = 1500;

/** Shortest retry delay; jitter is added so that daemons don't synchronize. */
const MIN_RETRY_DELAY_MS = 300;

const presenceSchema = z.object({
  address: z.string(),
  http: z.string(),
  availabilityZone: z.string(),
});

/** The daemon that a presence key describes; empty if its value is invalid. */
export function parsePresence({ key, value }: KeyValueEntry): readonly Vm[] {
  const parsed = presenceSchema.safeParse(
    parseJson(value, { maxChars: MAX_ENTRY_CHARS }),
  );
  if (!parsed.success) return [];
  return [{
    ...parsed.data,
    id: key.slice(PRESENCE_PREFIX.length),
    role: Role.Entry,
    standing: VmState.Live,
    pool: "",
    reclaimable: false,
  }];
}

/** Keeps this daemon registered. */
export class Presence extends Plugin {
  readonly #kernel: Kernel;
  readonly #stop = new AbortController();
  #ended: Promise<void> = Promise.resolve();
  #lease = "";

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
  }

  override start(): Promise<void> {
    this.#ended = this.#run();
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.#stop.abort();
    await this.#ended;
    if (this.#lease === "") return;
    await this.#kernel.platform.keyValue.revoke(this.#lease);
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    const { clock } = this.#kernel;
    while (!signal.aborted) {
      const kept = this.#lease === ""
        ? await this.#register()
        : await this.#renew();
      const waitMs = kept
        ? PRESENCE_RENEWAL_MS
        : MIN_RETRY_DELAY_MS * (1 + Math.random());
      await clock.sleep(waitMs, signal);
    }
  }

  async #register(): Promise<boolean> {
    const { settings, platform } = this.#kernel;
    const grant = await platform.keyValue.grant(PRESENCE_LEASE_MS);
    if (grant.err) return false;
    const key = PRESENCE_PREFIX + settings.vm;
    const value = JSON.stringify({
      address: `${settings.peer.host}:${settings.peer.port}`,
      http: `${settings.http.host}:${settings.http.port}`,
      availabilityZone: settings.availabilityZone,
    });
    const found = await platform.keyValue.get(key);
    if (found.err) return false;
    const expected = found.val._tag === "Some" ? found.val.value.revision : 0;
    const swap = await platform.keyValue.swap(key, {
      value,
      expected,
      lease: grant.val.id,
    });
    const registered = swap.ok && swap.val.applied;
    if (registered) this.#lease = grant.val.id;
    log("registration attempted", {
      vm: settings.vm,
      lease: grant.val.id,
      registered,
    });
    return registered;
  }

  async #renew(): Promise<boolean> {
    const renewed = await this.#kernel.platform.keyValue.renew(this.#lease);
    if (renewed.ok) return true;
    // An overloaded service may refuse too; only the key shows a lost lease.
    const { settings, platform } = this.#kernel;
    if (renewed.val.fault !== Fault.Refused) return false;
    const found = await platform.keyValue.get(PRESENCE_PREFIX + settings.vm);
    if (found.ok && found.val._tag === "None") {
      log("lease expired; registering again", {
        vm: settings.vm,
        lease: this.#lease,
      });
      this.#lease = "";
    }
    return false;
  }
}

/** Key of the presence plug-in. */
export const presenceKey = new PluginKey<Presence>("presence");

register({
  key: presenceKey,
  requires: [],
  create: (kernel) => new Presence(kernel),
});
