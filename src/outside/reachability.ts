/**
 * What is known of an upstream that reports no load, and a test whether
 * something listens at its address.
 *
 * @module
 */

import { connect } from "node:net";

/** What an attempt to reach an upstream showed. */
export enum Reachability {
  /** The upstream itself answered. */
  Alive = "alive",
  /** Something accepts connections, maybe its successor. */
  Connected = "connected",
  /** Nothing listens at the port, or another instance does. */
  Gone = "gone",
  Unknown = "unknown",
}

const CONNECT_TIMEOUT_MS = 1000;

/** Opens and closes a connection to `host:port`; sends nothing on it. */
export function connectTo(address: string): Promise<Reachability> {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    const settle = (reachability: Reachability) => {
      socket.destroy();
      resolve(reachability);
    };
    socket.once("connect", () => settle(Reachability.Connected));
    socket.once("timeout", () => settle(Reachability.Unknown));
    socket.once("error", ({ code }: NodeJS.ErrnoException) => {
      const refused = code === "ECONNREFUSED";
      settle(refused ? Reachability.Gone : Reachability.Unknown);
    });
  });
}
