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
  type Clock,
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
  /** Absent from daemons of earlier builds. */
  coldMs: z.number().optional(),
});

const evacuatedZones = z.object({
  revision: z.number(),
  zones: z.array(z.string()),
  ageMs: z.number(),
});

/** The gossip message; `vms` is omitted if the peer was last sent this list. */
const listingUpdate = z.object({
  digest: z.string(),
  /** Of the cold times; absent from daemons of earlier builds. */
  coldDigest: z.string().optional(),
  revision: z.number(),
  ageMs: z.number(),
  vms: z.array(vm).optional(),
  /** In each message, as one may be lost; absent from earlier builds. */
  evacuated: evacuatedZones.optional(),
  /** The incarnation of the sender, and the time on its monotonic clock. */
  run: z.string().optional(),
  at: z.number().optional(),
  /** The receiver's last message, and for how long the sender has had it. */
  echo: z.object({ run: z.string(), at: z.number(), heldMs: z.number() })
    .optional(),
});

/** Digests of a list: of the fields that all builds send, and of cold times. */
interface ListDigests {
  readonly digest: string;
  readonly coldDigest: string;
}

/** A message from a peer, as it is echoed to that peer. */
interface ReceivedMessage {
  readonly run: string;
  readonly at: number;
  readonly receivedAt: number;
}

/** Exchanges the list with the other daemons. */
export class DirectoryGossip extends Plugin {
  override readonly props: Props = {
    gossip: {
      [GOSSIP_SECTION]: {
        offer: (peer) => this.#offer(peer),
        forget: (peer) => {
          this.#lastSentDigests.delete(peer);
          this.#lastReceived.delete(peer);
        },
        accept: (body, peer) => this.#accept(listingUpdate.parse(body), peer),
      },
    },
    status: () => {
      const { revision, ageMs, vms, evacuated } = this.#directory.newest;
      return {
        revision,
        ageMs: Math.round(ageMs),
        vms: vms.length,
        ...evacuated === undefined
          ? {}
          : { evacuated: { ...evacuated, ageMs: Math.round(evacuated.ageMs) } },
      };
    },
  };
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #directory: CachedDirectory;
  readonly #lastSentDigests = new Map<string, string>();
  readonly #lastReceived = new Map<string, ReceivedMessage>();
  #cachedDigest: ListDigests & { vms: readonly Vm[] } = {
    vms: [],
    digest: "",
    coldDigest: "",
  };

  constructor(options: {
    clock: Clock;
    peers: Peers;
    directory: CachedDirectory;
  }) {
    super();
    this.#clock = options.clock;
    this.#peers = options.peers;
    this.#directory = options.directory;
    this.#directory.maxAgeMs = () =>
      this.#isReader() ? READER_MAX_AGE_MS : RECEIVER_MAX_AGE_MS;
    this.#directory.onUpdate(() => this.#peers.gossipNow(GOSSIP_SECTION));
    // A list that came with the zones is applied first: an old one isn't offered.
    this.#directory.evacuations.onChange(() =>
      queueMicrotask(() => this.#peers.gossipNow(GOSSIP_SECTION))
    );
  }

  #isReader(): boolean {
    const self = this.#peers.self.vm;
    return this.#peers.rankedForDuty(GOSSIP_SECTION).slice(0, READER_COUNT)
      .some(({ vm }) => vm === self);
  }

  #offer(peer: string): z.infer<typeof listingUpdate> | undefined {
    const { vms, revision, ageMs, evacuated } = this.#directory.newest;
    if (ageMs > RECEIVER_MAX_AGE_MS) return undefined;
    const { digest, coldDigest } = this.#digests(vms);
    const sent = `${digest} ${coldDigest}`;
    const alreadySent = this.#lastSentDigests.get(peer) === sent;
    this.#lastSentDigests.set(peer, sent);
    return {
      digest,
      coldDigest,
      revision,
      ageMs,
      evacuated: evacuated === undefined
        ? undefined
        : { ...evacuated, zones: [...evacuated.zones] },
      run: this.#peers.self.incarnation,
      at: this.#clock.now(),
      echo: this.#echo(peer),
      ...alreadySent ? {} : { vms: [...vms] },
    };
  }

  #echo(peer: string): z.infer<typeof listingUpdate>["echo"] {
    const last = this.#lastReceived.get(peer);
    if (last === undefined) return undefined;
    const { run, at, receivedAt } = last;
    return { run, at, heldMs: this.#clock.now() - receivedAt };
  }

  /** Applies an update, and forwards it if the list is now much newer. */
  #accept(update: z.infer<typeof listingUpdate>, peer: string): void {
    const before = this.#directory.newest.ageMs;
    const latencyMs = this.#latencyMs(update);
    const { evacuated } = update;
    // Merged even if the list is older: each has a revision of its own.
    if (evacuated !== undefined) {
      const ageMs = evacuated.ageMs + latencyMs;
      this.#directory.evacuations.merge({ ...evacuated, ageMs });
    }
    this.#apply({ ...update, ageMs: update.ageMs + latencyMs });
    const { run, at } = update;
    if (run !== undefined && at !== undefined) {
      this.#lastReceived.set(peer, {
        run,
        at,
        receivedAt: this.#clock.now(),
      });
    }
    const gainMs = before - this.#directory.newest.ageMs;
    if (gainMs >= MIN_FORWARDED_GAIN_MS) this.#peers.gossipNow(GOSSIP_SECTION);
  }

  /**
   * How long ago a message was written at most; 0 if it echoes no message of
   * this daemon. A link, or a pause of this daemon, may hold it up for long.
   */
  #latencyMs({ echo }: z.infer<typeof listingUpdate>): number {
    if (echo?.run !== this.#peers.self.incarnation) return 0;
    return Math.max(0, this.#clock.now() - echo.at - echo.heldMs);
  }

  #apply(
    update: z.infer<typeof listingUpdate>,
  ): void {
    const { digest, coldDigest, revision, ageMs, vms } = update;
    if (vms !== undefined) {
      return this.#directory.receive({ vms, revision, ageMs });
    }
    const known = this.#digests(this.#directory.newest.vms);
    if (digest !== known.digest) return;
    if ((coldDigest ?? known.coldDigest) !== known.coldDigest) return;
    this.#directory.confirm(revision, ageMs);
  }

  #digests(vms: readonly Vm[]): ListDigests {
    if (this.#cachedDigest.vms !== vms) {
      this.#cachedDigest = {
        vms,
        digest: digestOf(vms.map(gossipedFields)),
        coldDigest: coldTimesOf(vms),
      };
    }
    return this.#cachedDigest;
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

/** The cold times in a list; empty if it has none. */
function coldTimesOf(vms: readonly Vm[]): string {
  const cold = vms.filter(({ coldMs }) => coldMs !== undefined);
  if (cold.length === 0) return "";
  return digestOf(cold.map(({ id, coldMs }) => `${id} ${coldMs}`));
}

function digestOf(lines: readonly string[]): string {
  const text = JSON.stringify([...lines].sort());
  return createHash("sha256").update(text).digest("base64url").slice(0, 16);
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
    const { clock } = kernel;
    const peers = kernel.get(peersKey);
    return new DirectoryGossip({ clock, peers, directory });
  },
});
