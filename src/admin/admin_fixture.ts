/**
 * The admin pages with fakes of the plug-ins and the platform, for tests.
 *
 * @module
 */

import fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { none, type Option, some } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  ActiveConfiguration,
  activeConfigurationKey,
  type Caller,
} from "../config/mod.ts";
import {
  Dispatch,
  dispatchKey,
  type Permit,
  type Pressure,
  type UpstreamStatus,
} from "../dispatch/mod.ts";
import { Gateway, gatewayKey } from "../gateway/mod.ts";
import {
  Kernel,
  ManualClock,
  Plugin,
  PluginKey,
  Reason,
  Refusal,
  Verdict,
} from "../kernel/mod.ts";
import { type Member, Peers, peersKey } from "../peers/mod.ts";
import {
  Directory,
  type Failure,
  Fault,
  type Platform,
  Role,
  type Vm,
} from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { CallerKey, Configuration } from "../tables/mod.ts";
import { tables } from "../../stand_ins/builders.ts";
import { vm } from "../../stand_ins/platform.ts";
import { AdminPages } from "./admin_pages.ts";
import { adminKey } from "./mod.ts";

class FakeGateway extends Gateway {
  readonly server: FastifyInstance = fastify();

  refuse(reply: FastifyReply, refusal: Refusal): FastifyReply {
    return reply.code(401).send({ reason: refusal.reason });
  }

  count(): void {}
}

class FakeConfig extends ActiveConfiguration {
  readonly #revision: number;

  constructor(revision: number) {
    super();
    this.#revision = revision;
  }

  current(): Option<Configuration> {
    return this.#revision === 0 ? none : some({
      revision: this.#revision,
      attempt: "",
      author: "",
      note: "",
      at: "",
      tables: tables(),
    });
  }

  ageMs(): number {
    return 12.4;
  }

  fresh(): boolean {
    return true;
  }

  authorize(): Result<Caller, Refusal> {
    return Ok({ organisation: "", keyId: "" });
  }

  identify(): Result<Caller, Refusal> {
    return this.authorize();
  }

  granted(): Option<CallerKey> {
    return none;
  }

  onChange(): () => void {
    return () => {};
  }
}

/** Peers with preset answers; every request is recorded. */
export class FakePeers extends Peers {
  readonly sentRequests: string[] = [];
  /** The answer by VM; a VM without an entry is unreachable. */
  answers: Readonly<Record<string, unknown>> = {};
  readonly #members: readonly Member[];

  constructor(vms: readonly string[]) {
    super();
    this.#members = vms.map((vm) => ({
      vm,
      incarnation: `${vm}-1`,
      address: "",
      http: "",
      availabilityZone: "a",
      leaving: false,
      cores: 1,
    }));
  }

  get self(): Member {
    return this.#members[0];
  }

  members(): readonly Member[] {
    return this.#members;
  }

  ranked(): readonly Member[] {
    return this.#members;
  }

  ask(vm: string, kind: string): Promise<Result<unknown, Refusal>> {
    this.sentRequests.push(`${vm} ${kind}`);
    const unreachable = new Refusal({
      verdict: Verdict.NotRun,
      reason: Reason.PeerUnreachable,
      message: "No link",
    });
    return Promise.resolve(
      vm in this.answers ? Ok(this.answers[vm]) : Err(unreachable),
    );
  }

  onChange(): () => void {
    return () => {};
  }
}

class FakeDispatch extends Dispatch {
  acquire(): Promise<Result<Permit, Refusal>> {
    throw new RangeError("The admin pages run no request");
  }

  upstreams(pool: string): readonly UpstreamStatus[] {
    return [{
      id: `${pool}-1`,
      pool,
      availabilityZone: "a",
      keeper: "a",
      running: 2,
      queued: 1,
      weightVersion: 3,
      reclaimable: false,
      leaving: false,
    }];
  }

  pressure(): Promise<Pressure> {
    return Promise.resolve({ running: 0, queued: 0, urgent: 0, slots: 0 });
  }
}

class FakeDirectory extends Directory {
  readonly #vms: readonly string[] | undefined;

  constructor(vms: readonly string[] | undefined) {
    super();
    this.#vms = vms;
  }

  list(): Promise<Result<readonly Vm[], Failure>> {
    const down = { fault: Fault.NotSent, message: "down" };
    const vms = this.#vms?.map((id) => vm({ id, role: Role.Entry }));
    return Promise.resolve(vms === undefined ? Err(down) : Ok(vms));
  }
}

class StatusPlugin extends Plugin {
  override readonly props;

  constructor(status: () => unknown) {
    super();
    this.props = { status };
  }
}

/** A daemon that serves only the admin pages. */
export interface AdminDaemon {
  readonly server: FastifyInstance;
  readonly peers: FakePeers;
}

/** Starts the admin pages of a daemon with these members. */
export async function startAdmin(options: {
  members: readonly string[];
  revision?: number;
  listed?: readonly string[];
  operatorSha256?: string;
  parts?: Readonly<Record<string, () => unknown>>;
}): Promise<AdminDaemon> {
  const gateway = new FakeGateway();
  const peers = new FakePeers(options.members);
  const fakes = [
    { key: gatewayKey, create: () => gateway },
    { key: peersKey, create: () => peers },
    { key: dispatchKey, create: () => new FakeDispatch() },
    {
      key: activeConfigurationKey,
      create: () => new FakeConfig(options.revision ?? 0),
    },
    ...Object.entries(options.parts ?? {}).map(([name, status]) => ({
      key: new PluginKey(name),
      create: () => new StatusPlugin(status),
    })),
  ].map((fake) => ({ ...fake, requires: [] }));
  const kernel = new Kernel({
    settings: {
      vm: options.members[0],
      availabilityZone: "a",
      operatorSha256: options.operatorSha256,
    } as Settings,
    platform: platformWith(new FakeDirectory(options.listed)),
    incarnation: "1",
    clock: new ManualClock(),
    registrations: [
      ...fakes,
      {
        key: adminKey,
        requires: [],
        create: (kernel) => new AdminPages({ kernel }),
      },
    ],
  });
  await kernel.start();
  return { server: gateway.server, peers };
}

/** A platform that provides only the directory of VMs. */
function platformWith(directory: Directory): Platform {
  const platform: Partial<Platform> = { directory };
  return platform as Platform;
}
