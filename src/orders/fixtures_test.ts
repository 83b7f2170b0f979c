/**
 * Builders for the tests of this folder: a kernel with the orders plug-in and
 * stubs of the other plug-ins, on a platform over HTTP.
 *
 * @module
 */

import { none, some } from "fp-ts/Option";
import { ActiveConfiguration, activeConfigurationKey } from "../config/mod.ts";
import {
  Dispatch,
  dispatchKey,
  type Pressure,
  type UpstreamStatus,
} from "../dispatch/mod.ts";
import { Kernel } from "../kernel/mod.ts";
import { type Member, Peers, peersKey } from "../peers/mod.ts";
import type { Platform } from "../outside/mod.ts";
import { httpPlatform } from "../outside/http_platform.ts";
import { DEFAULT_TIMING } from "../settings/load.ts";
import type { Settings } from "../settings/mod.ts";
import type { Tables } from "../tables/mod.ts";
import { ordersKey, type ScalingPolicy } from "./mod.ts";
import { LeasedOrders } from "./orders.ts";

class FixedPeers extends Peers {
  readonly self: Member;

  constructor(vm: string) {
    super();
    this.self = {
      vm,
      incarnation: vm,
      address: "",
      http: "",
      availabilityZone: "a",
      leaving: false,
      cores: 1,
    };
  }

  members(): readonly Member[] {
    return [this.self];
  }

  ranked(): readonly Member[] {
    return [this.self];
  }

  ask(): never {
    throw new Error("Not used");
  }

  onChange(): () => void {
    return () => {};
  }
}

class FixedConfig extends ActiveConfiguration {
  readonly #tables: Tables;

  constructor(tables: Tables) {
    super();
    this.#tables = tables;
  }

  current() {
    return some({
      revision: 1,
      attempt: "",
      author: "",
      note: "",
      at: "",
      tables: this.#tables,
    });
  }

  ageMs(): number {
    return 0;
  }

  fresh(): boolean {
    return true;
  }

  authorize(): never {
    throw new Error("Not used");
  }

  identify(): never {
    throw new Error("Not used");
  }

  granted() {
    return none;
  }

  onChange(): () => void {
    return () => {};
  }
}

class FixedDispatch extends Dispatch {
  readonly #pressure: () => Pressure;

  constructor(pressure: () => Pressure) {
    super();
    this.#pressure = pressure;
  }

  acquire(): never {
    throw new Error("Not used");
  }

  upstreams(): readonly UpstreamStatus[] {
    return [];
  }

  pressure(): Promise<Pressure> {
    return Promise.resolve(this.#pressure());
  }
}

/** A kernel with the orders plug-in on the platform at `url`. */
export function kernel(options: {
  vm: string;
  url: string;
  tables: Tables;
  pressure: () => Pressure;
  policy: () => ScalingPolicy;
  leaseMs: number;
  /** Takes the place of parts of the platform. */
  platform?: Partial<Platform>;
}): Kernel {
  const { vm, url, tables } = options;
  const settings: Settings = {
    vm,
    availabilityZone: "a",
    region: "local",
    http: { host: "127.0.0.1", port: 1 },
    peer: { host: "127.0.0.1", port: 1 },
    peerSecret: "",
    platform: {
      keyValue: url,
      directory: url,
      orders: url,
      reports: url,
      weights: url,
    },
    dataFolder: "",
    timing: { ...DEFAULT_TIMING, leaseMs: options.leaseMs, directoryMs: 50 },
  };
  return new Kernel({
    settings,
    platform: { ...httpPlatform(settings), ...options.platform },
    incarnation: vm,
    registrations: [
      { key: peersKey, requires: [], create: () => new FixedPeers(vm) },
      {
        key: activeConfigurationKey,
        requires: [],
        create: () => new FixedConfig(tables),
      },
      {
        key: dispatchKey,
        requires: [],
        create: () => new FixedDispatch(options.pressure),
      },
      {
        key: ordersKey,
        requires: [],
        create: (kernel) =>
          new LeasedOrders({ kernel, policy: options.policy }),
      },
    ],
  });
}
