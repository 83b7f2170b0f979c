/**
 * Meshes on the loopback: in this process, or one in a process of its own.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { Ok } from "ts-results";
import {
  type GossipSection,
  Kernel,
  type PeerHandler,
  Plugin,
  PluginKey,
} from "../src/kernel/mod.ts";
import { Mesh } from "../src/peers/mesh.ts";
import { peersKey } from "../src/peers/mod.ts";
import { type Platform, Role, type Vm, VmState } from "../src/outside/mod.ts";
import type { Settings } from "../src/settings/mod.ts";

/** The platform's list of VMs, which may be changed while meshes run. */
export type VmList = Vm[];

/** A line of the list for a daemon on the loopback. */
export function entry(id: string, port: number): Vm {
  return {
    id,
    role: Role.Entry,
    standing: VmState.Live,
    availabilityZone: "az-1",
    address: `127.0.0.1:${port}`,
    http: "",
    pool: "",
    reclaimable: false,
  };
}

class Extra extends Plugin {
  override readonly props;

  constructor(props: Plugin["props"]) {
    super();
    this.props = props;
  }
}

/** Starts a mesh and puts it on the list. */
export async function startMesh(options: {
  vm: string;
  list?: VmList;
  handlers?: Record<string, PeerHandler>;
  gossip?: Record<string, GossipSection>;
  secret?: string;
  incarnation?: string;
  peerSilenceMs?: number;
  /** Whether the other plug-ins have not started yet. */
  starting?: boolean;
  /** The port to list in place of the daemon's own. */
  front?: (port: number) => Promise<number>;
}) {
  const { vm, list = [], handlers, gossip } = options;
  const extra = new Extra({ peerHandlers: handlers, gossip });
  const settings = {
    vm,
    availabilityZone: "az-1",
    http: { host: "127.0.0.1", port: 1 },
    peer: { host: "127.0.0.1", port: 0 },
    peerSecret: options.secret ?? "secret",
    timing: {
      peerSilenceMs: options.peerSilenceMs ?? 1500,
      heartbeatMs: 300,
      directoryMs: 200,
    },
  } as Settings;
  const directory = { list: () => Promise.resolve(Ok([...list])) };
  const kernel = new Kernel({
    settings,
    platform: { directory } as unknown as Platform,
    incarnation: options.incarnation ?? `${vm}-run`,
    registrations: [
      { key: peersKey, requires: [], create: (it) => new Mesh(it) },
      { key: new PluginKey("extra"), requires: [], create: () => extra },
    ],
  });
  const mesh = kernel.get(peersKey) as Mesh;
  await mesh.start();
  if (!options.starting) await mesh.open();
  const port = Number(mesh.self.address.split(":")[1]);
  list.push(entry(vm, await options.front?.(port) ?? port));
  /** The sum of a counter, over the label values that equal `label`. */
  const counted = async (name: string, label?: string) => {
    const { values } = await kernel.metrics.getSingleMetric(name)!.get();
    return values
      .filter(({ labels }) =>
        label === undefined || Object.values(labels).includes(label)
      )
      .reduce((sum, { value }) => sum + value, 0);
  };
  return { mesh, kernel, port, counted };
}

const CHILD_VARIABLE = "TOUCANWIND_STAND_IN_MESH";
/** A child left alone ends by itself after so long. */
const CHILD_LIFE_MS = 60_000;

/**
 * Starts a mesh in a process of its own, which answers `count`. It reports when
 * it wakes.
 */
export function forkMesh(
  options: { vm: string; list: VmList },
): ChildProcess {
  return fork(__filename, [], {
    env: { ...process.env, [CHILD_VARIABLE]: JSON.stringify(options) },
  });
}

async function runChild(options: { vm: string; list: VmList }): Promise<void> {
  setTimeout(() => process.exit(0), CHILD_LIFE_MS).unref();
  process.on("disconnect", () => process.exit(0));
  let ran = 0;
  const count = () => Promise.resolve(ran++);
  const { mesh, counted } = await startMesh({
    ...options,
    handlers: { count },
  });
  const report = setInterval(async () => {
    const wakes = await counted("toucanwind_peer_wakes_total");
    const settled = mesh.settled();
    if (wakes === 0 || !settled) return;
    clearInterval(report);
    process.send?.({ wakes, settled, ran, members: mesh.members().length });
  }, 50);
}

const childOptions = process.env[CHILD_VARIABLE];
if (childOptions !== undefined && require.main === module) {
  void runChild(JSON.parse(childOptions));
}
