/**
 * Shares the list of VMs among the daemons by gossip. A few daemons read it
 * from the platform; the others receive it from their peers, and read it
 * themselves if no update arrives in time. So the number of platform calls does
 * not grow with the number of daemons, and a daemon that the platform refuses
 * still learns which upstreams are leaving.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { z } from "zod";
import {
  type Kernel,
  Plugin,
  PluginKey,
  type Props,
  register,
} from "../kernel/mod.ts";
import { CachedDirectory } from "../outside/cached_directory.ts";
import { Role, type Vm, VmState } from "../outside/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";

const GOSSIP_SECTION = "directory";

/** Daemons that read the list for all; two, as one may be cut off. */
const READER_COUNT = 2;

/** Readers read a list older than this again. */
const READER_MAX_AGE_MS = 300;

/** Other daemons read it after this, since upstreams leave within 2 s. */
const RECEIVER_MAX_AGE_MS = 1100;

/** An update this much newer is forwarded at once, about twice a second. */
const MIN_FORWARDED_GAIN_MS = 400;

const vm = z.object({
  id: z.string(),
  role: z.enum(Role),
  standing: z.enum(VmState),
  availabilityZone: z.string(),
  address: z.string(),
  http: z.string(),
  pool: z.string(),
  reclaimable: z.boolean(),
  slots: z.number().optional(),
  weightVersions: z.record(z.string(), z.number()).optional(),
  orders: z.number().optional(),
  bornAt: z.number().optional(),
});

/** The gossip message; `vms` is omitted if the peer was last sent this list. */
const listingUpdate = z.object({
  digest: z.string(),
  revision: z.number(),
  ageMs: z.number(),
  vms: z.array(vm).optional(),
});

/** Exchanges the list with the other daemons. */
export class DirectoryGossip extends Plugin {
  override readonly props: Props = {
    gossip: {
      [GOSSIP_SECTION]: {
        offer: (peer) => this.#offer(peer),
        forget: (peer) => this.#lastSentDigests.delete(peer),
        accept: (body) => this.#accept(listingUpdate.parse(body)),
      },
    },
    status: () => {
      const { revision, ageMs, vms } = this.#directory.newest;
      return { revision, ageMs: Math.round(ageMs), vms: vms.length };
    },
  };
  readonly #peers: Peers;
  readonly #directory: CachedDirectory;
  readonly #lastSentDigests = new Map<string, string>();
  #cachedDigest: { vms: readonly Vm[]; digest: string } = {
    vms: [],
    digest: "",
  };

  constructor(options: { peers: Peers; directory: CachedDirectory }) {
    super();
    this.#peers = options.peers;
    this.#directory = options.directory;
    this.#directory.maxAgeMs = () =>
      this.#isReader() ? READER_MAX_AGE_MS : RECEIVER_MAX_AGE_MS;
    this.#directory.onUpdate(() => this.#peers.gossipNow(GOSSIP_SECTION));
  }

  #isReader(): boolean {
    const self = this.#peers.self.vm;
    return this.#peers.ranked(GOSSIP_SECTION).slice(0, READER_COUNT)
      .some(({ vm }) => vm === self);
  }

  #offer(peer: string): z.infer<typeof listingUpdate> | undefined {
    const { vms, revision, ageMs } = this.#directory.newest;
    if (ageMs > RECEIVER_MAX_AGE_MS) return undefined;
    const digest = this.#digest(vms);
    const alreadySent = this.#lastSentDigests.get(peer) === digest;
    this.#lastSentDigests.set(peer, digest);
    return { digest, revision, ageMs, ...alreadySent ? {} : { vms: [...vms] } };
  }

  /** Applies an update, and forwards it if the list is now much newer. */
  #accept(update: z.infer<typeof listingUpdate>): void {
    const before = this.#directory.newest.ageMs;
    this.#apply(update);
    const gainMs = before - this.#directory.newest.ageMs;
    if (gainMs >= MIN_FORWARDED_GAIN_MS) this.#peers.gossipNow(GOSSIP_SECTION);
  }

  #apply(
    { digest, revision, ageMs, vms }: z.infer<typeof listingUpdate>,
  ): void {
    if (vms !== undefined) {
      this.#directory.receive({ vms, revision, ageMs });
    } else if (digest === this.#digest(this.#directory.newest.vms)) {
      this.#directory.confirm(revision, ageMs);
    }
  }

  #digest(vms: readonly Vm[]): string {
    if (this.#cachedDigest.vms !== vms) {
      const text = JSON.stringify(vms.map(gossipedFields).sort());
      const digest = createHash("sha256").update(text).digest("base64url");
      this.#cachedDigest = { vms, digest: digest.slice(0, 16) };
    }
    return this.#cachedDigest.digest;
  }
}

/**
 * The fields of a VM whose change is sent to all daemons. Weight versions and
 * orders change several times a second, so they are left out; shard leaders and
 * lease holders ask the engines for them.
 */
function gossipedFields(vm: Vm): string {
  const { id, role, standing, availabilityZone, address, pool } = vm;
  return JSON.stringify(
    [id, role, standing, availabilityZone, address, pool, vm.slots, vm.bornAt],
  );
}

/** The key of the directory gossip plug-in. */
export const directoryGossipKey = new PluginKey<DirectoryGossip>("directory");

register({
  key: directoryGossipKey,
  requires: [peersKey],
  create: (kernel: Kernel) => {
    const { directory } = kernel.platform;
    if (!(directory instanceof CachedDirectory)) {
      throw new RangeError(
        "The platform's directory is not a CachedDirectory and can't be shared",
      );
    }
    return new DirectoryGossip({ peers: kernel.get(peersKey), directory });
  },
});
