/**
 * Tests whether something listens at an address, without sending a request.
 *
 * @module
 */

import { connect } from "node:net";

/** What an attempt to connect showed. */
export enum Reachability {
  Connected = "connected",
  /** The host answers, and nothing listens at the port. */
  Refused = "refused",
  Unknown = "unknown",
}

const CONNECT_TIMEOUT_MS = 1000;

/** Opens and closes a connection to an address of the form `host:port`. */
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
      settle(refused ? Reachability.Refused : Reachability.Unknown);
    });
  });
}
