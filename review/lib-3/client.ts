/**
 * A sound client: each attempt on a connection of its own.
 *
 * @module
 */

import { request } from "node:http";

/** A request of a client. */
export interface ClientRequest {
  readonly method?: string;
  readonly path: string;
  readonly host: string;
  readonly id: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Time after which the client gives the attempt up. */
  readonly timeoutMs?: number;
}

/** What a client saw of an attempt. */
export interface ClientAnswer {
  /** 0 if the connection ended or the time was up without a whole answer. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  readonly error?: string;
  readonly tookMs: number;
}

/** Sends one attempt to a daemon. */
export function send(
  address: string,
  options: ClientRequest,
): Promise<ClientAnswer> {
  const [host, port] = address.split(":");
  const startedAt = Date.now();
  return new Promise((resolve) => {
    const end = (
      answer: Omit<ClientAnswer, "tookMs">,
    ) => {
      clearTimeout(timer);
      resolve({ ...answer, tookMs: Date.now() - startedAt });
    };
    const broken = (error: string) =>
      end({ status: 0, headers: {}, body: "", error });
    const sent = request({
      host,
      port: Number(port),
      method: options.method ?? "POST",
      path: options.path,
      agent: false,
      headers: {
        host: options.host,
        "x-request-id": options.id,
        ...options.key === undefined ? {} : { "x-api-key": options.key },
        ...options.headers,
        ...options.body === undefined
          ? {}
          : { "content-length": `${Buffer.byteLength(options.body)}` },
      },
    }, (message) => {
      const parts: Buffer[] = [];
      message.on("data", (part) => parts.push(part));
      message.on("error", (error) => broken(String(error)));
      message.on("close", () => {
        if (!message.complete) return broken("The answer ended early");
        end({
          status: message.statusCode ?? 0,
          headers: message.headers,
          body: Buffer.concat(parts).toString(),
        });
      });
    });
    const timer = setTimeout(() => {
      broken("No answer in time");
      sent.destroy();
    }, options.timeoutMs ?? 10_000);
    sent.on("error", (error) => broken(String(error)));
    sent.end(options.body);
  });
}
