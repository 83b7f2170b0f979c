/**
 * Plug-ins and their registration. A plug-in has a key, says which other
 * plug-ins it requires, keeps its own state, and declares props through which
 * the kernel and other plug-ins reach it.
 *
 * @module
 */

import type { Kernel } from "./kernel.ts";

/** Identifies a plug-in and carries its class for typed look-ups. */
export class PluginKey<T extends Plugin = Plugin> {
  /** Never set; ties the key to its plug-in's class. */
  declare readonly plugin?: T;
  readonly name: string;

  constructor(name: string) {
    this.name = name;
  }
}

/** Answers one kind of request from a peer; what it throws reaches the peer. */
export type PeerHandler = (body: unknown, from: string) => Promise<unknown>;

/** A part of the state that neighbours exchange in the background. */
export interface GossipSection {
  /** What to tell `peer` now, or `undefined` when it has it all already. */
  offer(peer: string): unknown;
  /** There is a new link: `peer` may lack what it was offered before. */
  forget?(peer: string): void;
  /** Takes in what `peer` offered. Must ignore anything older than is known. */
  accept(body: unknown, peer: string): void;
}

/** What a plug-in lets the kernel and the other plug-ins reach. */
export interface Props {
  /** Requests from peers that this plug-in answers, by kind. */
  readonly peerHandlers?: Readonly<Record<string, PeerHandler>>;
  /** State exchanged with neighbours, by section name. */
  readonly gossip?: Readonly<Record<string, GossipSection>>;
  /** This plug-in's part of the status page, as JSON. */
  readonly status?: () => unknown;
  /** Whether this plug-in is ready for callers' requests. */
  readonly ready?: () => boolean;
}

/** A part of the daemon with its own state. */
export abstract class Plugin {
  /** Read once, after construction. */
  readonly props: Props = {};

  /** Runs after everything required has started. */
  start(): Promise<void> {
    return Promise.resolve();
  }

  /** Lets callers in; runs after all plug-ins have started. */
  open(): Promise<void> {
    return Promise.resolve();
  }

  /** Tells the other daemons that this one owns nothing new; runs first. */
  leave(): Promise<void> {
    return Promise.resolve();
  }

  /** Finishes callers' running requests; runs before any plug-in drains. */
  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Hands over what this plug-in owns; runs in reverse order of start. */
  drain(): Promise<void> {
    return Promise.resolve();
  }

  /** Ends every task; runs after all plug-ins drained. */
  stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** How the kernel makes a plug-in. */
export interface Registration<T extends Plugin = Plugin> {
  readonly key: PluginKey<T>;
  readonly requires: readonly PluginKey[];
  create(kernel: Kernel): T;
}

const registrations: Registration[] = [];

/** Makes a plug-in known; called once by each plug-in's module. */
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
