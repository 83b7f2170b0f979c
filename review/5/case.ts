/**
 * Case 5: streams that run when their machine gets SIGTERM, and that their
 * sampler ends before the last sixth of `grace_s`, are cut by the machine.
 *
 * @module
 */

import { type ClientAnswer, openStream } from "../lib/client.ts";
import { LM } from "../lib/routes.ts";
import {
  RawSampler,
  type SamplerRequest,
  StreamAnswer,
} from "../lib/sampler.ts";
import { HOST, runCase, type Site, sleep } from "../lib/site.ts";

const STREAMS = 4;

const EVENT_INTERVAL_MS = 50;

/** Events of a stream, which thus lasts 6.5 s. */
const EVENTS = 130;

/** Time from the start of the streams to SIGTERM. */
const SIGNAL_AFTER_MS = 100;

const GRACE_MS = 8000;

/** In the last sixth of it, a sampler's work is no longer counted. */
const COUNTED_MS = GRACE_MS * 5 / 6;

const ROUTE = {
  name: "chats",
  host: HOST,
  prefix: "/chats/",
  type: "stream",
  timeout_ms: 10_000,
  latency_goal_ms: 500,
  priority: 1,
  service: "lm",
  max_attempts: 3,
};

async function run(site: Site, trouble: boolean): Promise<readonly string[]> {
  const { journal } = site;
  const sampler = new RawSampler({ id: "lm-1", model: "m" });
  sampler.onRequest = (request) => void serve(site, request);
  await sampler.start();
  await site.start([ROUTE], [LM]);
  site.list("lm-1", {
    service: "lm",
    address: sampler.address,
    slots: 8,
    model: "m",
  });
  const [daemon] = await site.startDaemons(2);
  const sentAt = performance.now();
  const streams = Array.from({ length: STREAMS }, async (_, n) => {
    const id = `stream-${n + 1}`;
    journal.write(`${id} is sent to front-1`);
    const answer = await openStream(daemon, { id, path: `/chats/${n}` });
    const events = eventsOf(answer);
    journal.write(
      `${id} is answered ${answer.status} with ${events} of ${EVENTS} events, ` +
        `whole by its framing: ${answer.whole}`,
    );
    return { id, whole: answer.whole, events };
  });
  await sleep(SIGNAL_AFTER_MS);
  if (trouble) {
    daemon.process.kill("SIGTERM");
    journal.write("front-1 gets SIGTERM");
    const lasts = sentAt + EVENTS * EVENT_INTERVAL_MS - performance.now();
    if (lasts >= COUNTED_MS) throw new Error("The streams last too long");
  }
  const ended = await Promise.all(streams);
  sampler.stop();
  return ended.filter(({ whole, events }) => !whole || events < EVENTS)
    .map(({ id, events }) => `${id} ended after ${events} of ${EVENTS} events`);
}

async function serve(
  { journal }: Site,
  request: SamplerRequest,
): Promise<void> {
  const { id } = request;
  journal.write(`lm-1 runs ${id}`);
  const answer = new StreamAnswer(request);
  const startedAt = performance.now();
  for (let n = 1; n <= EVENTS && answer.open; n++) {
    answer.send(n);
    await sleep(startedAt + n * EVENT_INTERVAL_MS - performance.now());
  }
  answer.end();
  journal.write(
    `lm-1 ${answer.open ? "has finished" : "is cut off from"} ${id}`,
  );
}

function eventsOf({ body }: ClientAnswer): number {
  return body.toString().split("\n\n").length - 1;
}

void runCase("review/5", run);
