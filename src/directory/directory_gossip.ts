/**
 * Shares the list of VMs among the daemons: a few read it from the platform,
 * the others are told, and whoever isn't told in time reads it itself. So the
 * calls don't grow with the daemons, and one that the platform turns away
 * still learns which upstreams leave.
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
import { HeldDirectory } from "../outside/held_directory.ts";
import { Role, Standing, type Vm } from "../outside/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";

const GOSSIP_SECTION = "directory";

/** Daemons that read the list for all: one may be cut off. */
const READER_COUNT = 2;

/** A reader's list is read again at each look. */
const READER_MAX_AGE_MS = 300;

/** Others read it themselves after this: upstreams leave within 2 s. */
const RECEIVER_MAX_AGE_MS = 1100;

/** A gain in age worth telling the neighbours at once: twice a second. */
const MIN_FORWARDED_AGE_GAIN_MS = 400;

const vm = z.object({
  id: z.string(),
  role: z.enum(Role),
  standing: z.enum(Standing),
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

/** The list goes along only where the peer was told another one. */
const listingUpdate = z.object({
  digest: z.string(),
  revision: z.number(),
  ageMs: z.number(),
  vms: z.array(vm).optional(),
});

/** Tells the other daemons of the list. */
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
  readonly #directory: HeldDirectory;
  readonly #lastSentDigests = new Map<string, string>();
  #cachedDigest: { vms: readonly Vm[]; digest: string } = {
    vms: [],
    digest: "",
  };

  constructor(options: { peers: Peers; directory: HeldDirectory }) {
    super();
    this.#peers = options.peers;
    this.#directory = options.directory;
    this.#directory.freshMs = () =>
      this.#isReader() ? READER_MAX_AGE_MS : RECEIVER_MAX_AGE_MS;
    this.#directory.onNews(() => this.#peers.poke(GOSSIP_SECTION));
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

  /** Takes in news, and passes on what makes this view much younger. */
  #accept(update: z.infer<typeof listingUpdate>): void {
    const before = this.#directory.newest.ageMs;
    this.#apply(update);
    const gainMs = before - this.#directory.newest.ageMs;
    if (gainMs >= MIN_FORWARDED_AGE_GAIN_MS) this.#peers.poke(GOSSIP_SECTION);
  }

  #apply(
    { digest, revision, ageMs, vms }: z.infer<typeof listingUpdate>,
  ): void {
    if (vms !== undefined) {
      this.#directory.hear({ vms, revision, ageMs });
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
 * What of a VM is worth a message to everybody. Weight versions and orders
 * change several times a second; keepers and holders ask engines for them.
 */
function gossipedFields(vm: Vm): string {
  const { id, role, standing, availabilityZone, address, pool } = vm;
  return JSON.stringify(
    [id, role, standing, availabilityZone, address, pool, vm.slots, vm.bornAt],
  );
}

/** The key of the sharing plug-in. */
export const directoryGossipKey = new PluginKey<DirectoryGossip>("directory");

register({
  key: directoryGossipKey,
  requires: [peersKey],
  create: (kernel: Kernel) => {
    const { directory } = kernel.platform;
    if (!(directory instanceof HeldDirectory)) {
      throw new RangeError("This platform's list can't be shared");
    }
    return new DirectoryGossip({ peers: kernel.get(peersKey), directory });
  },
});
