/**
 * A streamed answer on its way to the caller. Nothing goes out before the first
 * event: until then another upstream may take the request over. After it the
 * stream goes on elsewhere only where the route's streams can be resumed, and
 * only with the event that follows the last one.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { Outcome, type Permit } from "../dispatch/mod.ts";
import type { Refusal } from "../kernel/mod.ts";
import {
  type Delivery,
  type Flow,
  Loss,
  type Lost,
  type Piece,
} from "../outside/mod.ts";
import type { Attempts, Taken } from "./attempts.ts";
import { type Attempt, type Course, SILENT } from "./course.ts";
import type { Requester, StreamedResponse } from "./mod.ts";

/** A flow whose first event is there. */
interface Begun {
  readonly flow: Flow;
  /** None if the flow is whole without an event. */
  readonly first: Piece | undefined;
  readonly bound: Attempt;
}

/** One streamed answer, over all the upstreams that make it. */
export class Passage {
  readonly #attempts: Attempts;
  readonly #course: Course;
  readonly #sender: Requester;
  readonly #ended: (result: Result<unknown, Refusal>) => void;

  constructor(options: {
    attempts: Attempts;
    course: Course;
    sender: Requester;
    /** Told once how it ended. */
    ended: (result: Result<unknown, Refusal>) => void;
  }) {
    this.#attempts = options.attempts;
    this.#course = options.course;
    this.#sender = options.sender;
    this.#ended = options.ended;
  }

  /** Sends until an upstream made the first event, or answered otherwise. */
  async open(): Promise<Result<StreamedResponse | Delivery, Refusal>> {
    const taken = await this.#take();
    if (taken.err || "body" in taken.val) {
      this.#ended(taken);
      return taken as Result<Delivery, Refusal>;
    }
    const { status, fields } = taken.val.answer.flow;
    return Ok({ status, fields, parts: this.#parts(taken.val) });
  }

  async *#parts(
    first: Taken<Begun>,
  ): AsyncGenerator<Result<string, Refusal>, void, void> {
    let taken = first;
    let result: Result<string, Refusal> = Ok("");
    try {
      for (;;) {
        const lost = yield* this.#pass(taken);
        if (lost === undefined) return;
        const again = this.#attempts.lost(this.#course, taken.permit, lost);
        const next = again ? await this.#take() : undefined;
        if (next?.ok && !("body" in next.val)) {
          taken = next.val;
          continue;
        }
        result = Err(next?.err ? next.val : this.#course.failed(lost));
        yield result;
        return;
      }
    } finally {
      this.#ended(result);
    }
  }

  /** Passes one upstream's events on; nothing is returned after the last. */
  async *#pass(
    { answer: { flow, first, bound }, permit }: Taken<Begun>,
  ): AsyncGenerator<Result<string, Refusal>, Lost | undefined, void> {
    // Who reads may stop at any event.
    let end = Outcome.Cancelled;
    let lost: Lost | undefined;
    try {
      if (first !== undefined) yield this.#passed(first);
      for await (const piece of flow.pieces) {
        if (piece.err) lost = piece.val;
        else if (!this.#follows(piece.val)) lost = misplaced(piece.val);
        if (piece.err || lost !== undefined) break;
        yield this.#passed(piece.val);
      }
      if (lost !== undefined) return lost;
      const tail = flow.tail();
      if (tail !== "") yield Ok(tail);
      end = Outcome.Served;
      return undefined;
    } finally {
      bound.end();
      if (lost === undefined) permit.release(end, this.#tokens);
    }
  }

  #passed({ number, raw }: Piece): Result<string, Refusal> {
    this.#course.after = number;
    return Ok(raw);
  }

  #follows({ number }: Piece): boolean {
    const { after } = this.#course;
    return after === undefined || number === after + 1;
  }

  get #tokens(): number {
    return Math.max(1, this.#course.request.prompt?.tokens ?? 1);
  }

  async #take(): Promise<Result<Taken<Begun> | Delivery, Refusal>> {
    const taken = await this.#attempts.run(
      this.#course,
      this.#sender,
      (permit) => this.#begin(permit),
    );
    if (taken.ok && !("body" in taken.val)) {
      // A stream runs from its first event on.
      this.#attempts.count(this.#course, this.#sender);
    }
    return taken;
  }

  async #begin(permit: Permit): Promise<Result<Begun, Lost>> {
    const course = this.#course;
    const bound = course.attempt();
    // What can't go on elsewhere stays, whether its upstream leaves or waits.
    const movable = course.mayRetry(Loss.Silent);
    const signal = movable
      ? AbortSignal.any([bound.signal, permit.leaving])
      : bound.signal;
    const parcel = this.#attempts.parcel(course, this.#sender, { movable });
    const flow = await this.#attempts.carrier
      .stream(permit.target, parcel, signal);
    const first = flow.err ? flow : await this.#first(flow.val);
    if (first.err || flow.err) {
      bound.end();
      return Err(bound.timedOut ? SILENT : first.val as Lost);
    }
    bound.begun();
    return Ok({ flow: flow.val, first: first.val, bound });
  }

  async #first({ pieces }: Flow): Promise<Result<Piece | undefined, Lost>> {
    const next = await pieces.next();
    if (next.done) return Ok(undefined);
    if (next.value.err || this.#follows(next.value.val)) return next.value;
    await pieces.return();
    return Err(misplaced(next.value.val));
  }
}

function misplaced({ number }: Piece): Lost {
  return { loss: Loss.Broken, message: `Event ${number} is out of place` };
}
