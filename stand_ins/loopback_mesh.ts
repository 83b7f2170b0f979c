/**
 * Peer meshes on loopback, in this process or in a child process.
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

/** The platform's list of VMs, which may change while meshes run. */
export type VmList = Vm[];

/** A list entry for a daemon on loopback. */
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

class HandlersPlugin extends Plugin {
  override readonly props;

  constructor(props: Plugin["props"]) {
    super();
    this.props = props;
  }
}

/** Starts a mesh and adds it to the list. */
export async function startMesh(options: {
  vm: string;
  list?: VmList;
  handlers?: Record<string, PeerHandler>;
  gossip?: Record<string, GossipSection>;
  secret?: string;
  incarnation?: string;
  peerSilenceMs?: number;
  /** Whether other plug-ins are still starting, so the mesh is not open. */
  starting?: boolean;
  /** Returns the port to list in place of the daemon's own. */
  front?: (port: number) => Promise<number>;
}) {
  const { vm, list = [], handlers, gossip } = options;
  const extra = new HandlersPlugin({ peerHandlers: handlers, gossip });
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
  /** Sum of a counter; with `label`, only over series with that label value. */
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
/** A child process exits after this time if it is left running. */
const CHILD_LIFETIME_MS = 60_000;

/**
 * Starts a mesh in a child process, which answers `count` requests. It sends a
 * report once it has detected that it was paused and has settled again.
 */
export function forkMesh(
  options: { vm: string; list: VmList },
): ChildProcess {
  return fork(__filename, [], {
    env: { ...process.env, [CHILD_VARIABLE]: JSON.stringify(options) },
  });
}

async function runChild(options: { vm: string; list: VmList }): Promise<void> {
  setTimeout(() => process.exit(0), CHILD_LIFETIME_MS).unref();
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
