/**
 * Loaded into a daemon before its program: gives it a loopback address of its
 * own, as on a VM, from which it connects. Its listeners at that address move to
 * `listenHostOf`, so that a relay can take their place.
 *
 * @module
 */

import { Server, Socket } from "node:net";

/** Environment variable with the daemon's address. */
export const HOST_VARIABLE = "SOAK_HOST";

/** Where a daemon really listens for what connects to its own address. */
export function listenHostOf(host: string): string {
  return host.replace("127.0.", "127.1.");
}

function connectFrom(host: string): void {
  const connect = Socket.prototype.connect;
  Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
    // `net.connect` passes its arguments on as one array.
    const [options] = args.flat();
    if (typeof options === "object" && options !== null) {
      Object.assign(options, { localAddress: host });
    }
    return Reflect.apply(connect, this, args);
  };
}

function listenBehind(host: string): void {
  const listen = Server.prototype.listen;
  Server.prototype.listen = function (this: Server, ...args: unknown[]) {
    const moved = args.map((one) => one === host ? listenHostOf(host) : one);
    return Reflect.apply(listen, this, moved);
  };
}

const host = process.env[HOST_VARIABLE];
if (host !== undefined) {
  connectFrom(host);
  listenBehind(host);
}
