/**
 * Answers the operators' requests to retire VMs that hold nothing of this
 * system, while the lease is held.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { type Kernel, logger } from "../kernel/mod.ts";
import type { RetirementRequest } from "../outside/mod.ts";
import { peersKey } from "../peers/mod.ts";
import type { HeldLease } from "./duty_lease.ts";

const log = logger("orders");

/** Most answers written in one round, so that many requests delay no order. */
const MAX_ANSWERS_PER_ROUND = 16;

/** Writes each missing answer. */
export class RetirementResponder {
  readonly #kernel: Kernel;
  readonly #lease: HeldLease;
  /** Requests that need nothing more, by VM with their revision. */
  #settled: ReadonlyMap<string, number> = new Map();

  constructor(options: { kernel: Kernel; lease: HeldLease }) {
    this.#kernel = options.kernel;
    this.#lease = options.lease;
  }

  /** Reads the requests once and answers those without an answer. */
  async respond(): Promise<void> {
    const { retirements, directory } = this.#kernel.platform;
    if (retirements === undefined) return;
    const requests = await retirements.requests();
    if (requests.err || requests.val.length === 0) return;
    const listed = await directory.list();
    if (listed.err) return;
    const inUse = new Set([
      ...this.#kernel.get(peersKey).members().map(({ vm }) => vm),
      ...listed.val.map(({ id }) => id),
    ]);
    const settled = new Map<string, number>();
    let answers = 0;
    for (const request of requests.val) {
      const known = this.#settled.get(request.vm) === request.revision;
      if (known) settled.set(request.vm, request.revision);
      else if (inUse.has(request.vm)) {
        log("retirement not answered, the VM serves requests", { ...request });
        settled.set(request.vm, request.revision);
      } else if (answers < MAX_ANSWERS_PER_ROUND) {
        answers += 1;
        const done = await this.#answer(request);
        if (done) settled.set(request.vm, request.revision);
      }
    }
    this.#settled = settled;
  }

  /** Returns whether the answer is written; otherwise the next round retries. */
  async #answer({ vm, revision }: RetirementRequest): Promise<boolean> {
    const { retirements } = this.#kernel.platform;
    const answer = await this.#lease.runWhileHeld(async () =>
      await retirements?.complete(vm)
    );
    if (isNone(answer) || answer.value === undefined) return false;
    const { value } = answer;
    log("retirement answered", {
      vm,
      revision,
      outcome: value.err ? value.val.message : value.val,
    });
    return value.ok;
  }
}
