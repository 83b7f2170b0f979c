/**
 * Plug-ins and their registration. A plug-in has a key, lists the plug-ins that
 * it requires, owns its state, and declares in its props what the kernel and
 * other plug-ins may access.
 *
 * @module
 */

import type { Kernel } from "./kernel.ts";

/** Identifies a plug-in; its type parameter makes look-ups typed. */
export class PluginKey<T extends Plugin = Plugin> {
  /** Never set; binds the type parameter to the key. */
  declare readonly plugin?: T;
  readonly name: string;

  constructor(name: string) {
    this.name = name;
  }
}

/**
 * Handles one kind of request from peers; errors are sent to the peer. `linkEnd`
 * aborts when the link that the request came over ends, after which no answer
 * can reach the peer.
 */
export type PeerHandler = (
  body: unknown,
  from: string,
  linkEnd: AbortSignal,
) => Promise<unknown>;

/** A section of the state that neighbours exchange by gossip. */
export interface GossipSection {
  /** What to send to `peer` now, or `undefined` if it is up to date. */
  offer(peer: string): unknown;
  /** Called for a new link: `peer` may lack what was offered to it before. */
  forget?(peer: string): void;
  /** Merges what `peer` offered. Must ignore whatever is older than known. */
  accept(body: unknown, peer: string): void;
}

/** What a plug-in exposes to the kernel and the other plug-ins. */
export interface Props {
  /** Handlers of requests from peers, by kind. */
  readonly peerHandlers?: Readonly<Record<string, PeerHandler>>;
  /** State exchanged by gossip, by section name. */
  readonly gossip?: Readonly<Record<string, GossipSection>>;
  /** This plug-in's section of the status page, as JSON. */
  readonly status?: () => unknown;
  /** Whether this plug-in is ready for callers' requests. */
  readonly ready?: () => boolean;
}

/** A component of the daemon with its own state and lifecycle. */
export abstract class Plugin {
  /** Read once, after construction. */
  readonly props: Props = {};

  /** Runs after the plug-ins that this one requires have started. */
  start(): Promise<void> {
    return Promise.resolve();
  }

  /** Begins to accept requests; runs after all plug-ins have started. */
  open(): Promise<void> {
    return Promise.resolve();
  }

  /** Called at once when a graceful shutdown begins, before any waits. */
  beginShutdown(): void {}

  /** Hands work over while plug-ins close, which must not wait for it. */
  leave(): Promise<void> {
    return Promise.resolve();
  }

  /** Finishes callers' running requests; runs before any plug-in drains. */
  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Hands over what this plug-in owns; runs in reverse start order. */
  drain(): Promise<void> {
    return Promise.resolve();
  }

  /** Ends all tasks; runs after all plug-ins have drained. */
  stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** How the kernel creates a plug-in. */
export interface Registration<T extends Plugin = Plugin> {
  readonly key: PluginKey<T>;
  readonly requires: readonly PluginKey[];
  create(kernel: Kernel): T;
}

const registrations: Registration[] = [];

/** Registers a plug-in; each plug-in's module calls it once. */
export function register<T extends Plugin>(
  registration: Registration<T>,
): void {
  const name = registration.key.name;
  if (registrations.some((other) => other.key.name === name)) {
    throw new RangeError(`Plug-in "${name}" is registered twice`);
  }
  registrations.push(registration);
}

/** All registered plug-ins, each after those that it requires. */
export function registeredPlugins(): readonly Registration[] {
  const ordered: Registration[] = [];
  const visit = (registration: Registration, path: readonly string[]) => {
    if (ordered.includes(registration)) return;
    const name = registration.key.name;
    if (path.includes(name)) {
      throw new RangeError(`Plug-in "${name}" requires itself`);
    }
    for (const key of registration.requires) {
      const required = registrations.find((other) => other.key === key);
      if (required === undefined) {
        throw new RangeError(`Plug-in "${key.name}" is not registered`);
      }
      visit(required, [...path, name]);
    }
    ordered.push(registration);
  };
  for (const registration of registrations) visit(registration, []);
  return ordered;
}
