/**
 * The commands for callers' keys. Granting and withdrawing a key edits the
 * routes table. Such an edit is compatible with any other, so it is retried on
 * the newest tables after a conflict.
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import {
  type CallerKey,
  hashKey,
  newSecret,
  type Tables,
} from "../tables/mod.ts";
import { CliExitCode } from "./exit.ts";
import { EditCommand } from "./edit_command.ts";
import {
  BaseCommand,
  type CommandResult,
  impossible,
  readFailed,
  validTables,
} from "./base_command.ts";
import { EditOutcome } from "./revision_store.ts";

const MAX_ROUNDS = 20;
const RETRY_JITTER_STEP_MS = 100;

/** Creates a key without granting it. */
export class NewKeyCommand extends BaseCommand {
  static override paths = [["key", "new"]];
  static override usage = Command.Usage({
    category: "Keys",
    description: "Create a key and its hash without granting it",
    examples: [["A key for a table in version control", "$0 key new"]],
  });

  run(): Promise<CommandResult> {
    const secret = newSecret();
    const sha256 = hashKey(secret);
    return Promise.resolve({
      exit: CliExitCode.Done,
      lines: [`key     ${secret}`, `sha256  ${sha256}`],
      json: { outcome: "made", key: secret, sha256 },
    });
  }
}

/** A command that edits the routes' keys. */
abstract class KeyEditCommand extends EditCommand {
  /** Whether the edit may grant a withdrawn key again. */
  regrant = false;

  /** The edited tables, or the reason why the edit is impossible. */
  protected abstract applyEdit(tables: Tables): Result<Tables, string>;

  /** The note in the history if the operator gave none. */
  protected abstract defaultNote(): string;

  /** Commits the edit on the newest revision, with retries on conflict. */
  protected async commitEdit(): Promise<CommandResult> {
    for (let round = 1;; round++) {
      const head = await this.revisions().head();
      if (head.err) return readFailed(head.val);
      const current = validTables(head.val);
      if (current.err) return current.val;
      const tables = this.applyEdit(current.val);
      if (tables.err) return impossible(tables.val);
      // Checked for each head, since the key may have been withdrawn meanwhile.
      const regranted = this.regrant
        ? Ok(new Set<string>())
        : await this.regrantedHashes(head.val, tables.val);
      if (regranted.err) return regranted.val;
      if (regranted.val.size > 0) {
        return impossible("This key was withdrawn before; add --regrant");
      }
      const submission = await this.submit(head.val, {
        tables: tables.val,
        attempt: randomUUID(),
        note: this.defaultNote(),
      });
      const lost = submission.commit.ending === EditOutcome.Lost;
      if (!lost || round === MAX_ROUNDS) return await this.finish(submission);
      await this.context.clock.sleep(
        Math.random() * RETRY_JITTER_STEP_MS * round,
      );
    }
  }
}

/** Grants a key on a route. */
export class GrantKeyCommand extends KeyEditCommand {
  static override paths = [["key", "grant"]];
  static override usage = Command.Usage({
    category: "Keys",
    description: "Grant an organisation a key on routes, and print it once",
    details: `
      The key itself is printed once and stored nowhere; the routes table holds
      its hash. With \`--sha256\` the key was created elsewhere and is unknown.
    `,
    examples: [
      [
        "A new key",
        "$0 key grant insurer-2 --route appraise --tenant insurer",
      ],
      [
        "A key created elsewhere, on two routes",
        "$0 key grant insurer-2 --route appraise --route release " +
        "--tenant insurer --sha256 9f86...",
      ],
    ],
  });

  id = Option.String({ name: "id" });
  route = Option.Array("--route", {
    description: "Route to grant it on; may be repeated",
  });
  organisation = Option.String("--tenant", {
    description: "Organisation of the key; the routes must list it",
    required: true,
  });
  sha256 = Option.String("--sha256", {
    description: "Hash of a key that was created elsewhere",
  });
  override regrant = Option.Boolean("--regrant", false, {
    description: "Grant it also if it was withdrawn before",
  });

  #hash = "";

  async run(): Promise<CommandResult> {
    const secret = this.sha256 === undefined ? newSecret() : "";
    this.#hash = this.sha256 ?? hashKey(secret);
    if (!/^[0-9a-f]{64}$/.test(this.#hash)) {
      throw new UsageError("--sha256 must be 64 lower-case hexadecimal digits");
    }
    return withSecret(await this.commitEdit(), secret);
  }

  protected override applyEdit(tables: Tables): Result<Tables, string> {
    const key: CallerKey = {
      id: this.id,
      sha256: this.#hash,
      tenant: this.organisation,
    };
    const wanted = this.route ?? [];
    if (wanted.length === 0) return Err("Name at least one --route");
    const routeNames = tables.routes.map((route) => route.name);
    const absent = wanted.find((name) => !routeNames.includes(name));
    if (absent !== undefined) return Err(`There is no route "${absent}"`);
    if (tables.routes.some((route) => route.keys.some(hasId(key.id)))) {
      return Err(`There is a key "${key.id}" already`);
    }
    const routes = tables.routes.map((route) =>
      wanted.includes(route.name)
        ? { ...route, keys: [...route.keys, key] }
        : route
    );
    return Ok({ ...tables, routes });
  }

  protected override defaultNote(): string {
    return `grant key ${this.id}`;
  }
}

/** Withdraws a key. */
export class WithdrawKeyCommand extends KeyEditCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({
    category: "Keys",
    description: "Withdraw a key from all routes, or from some",
    details: `
      Exit code 0 means that every daemon refuses the key. On exit code 4 the
      listed daemons may still accept it until their configuration is stale;
      then they refuse all keys.
    `,
    examples: [
      ["From all routes", "$0 key withdraw insurer-1"],
      ["From one route", "$0 key withdraw insurer-1 --route appraise"],
    ],
  });

  id = Option.String({ name: "id" });
  route = Option.Array("--route", {
    description: "Withdraw it on this route only; may be repeated",
  });

  async run(): Promise<CommandResult> {
    return await this.commitEdit();
  }

  protected override applyEdit(tables: Tables): Result<Tables, string> {
    const matches = hasId(this.id);
    const chosen = tables.routes.filter((route) =>
      (this.route?.includes(route.name) ?? true) && route.keys.some(matches)
    );
    if (chosen.length === 0) return Err(`No key "${this.id}" is granted there`);
    const routes = tables.routes.map((route) =>
      chosen.includes(route)
        ? { ...route, keys: route.keys.filter((key) => !matches(key)) }
        : route
    );
    return Ok({ ...tables, routes });
  }

  protected override defaultNote(): string {
    return `withdraw key ${this.id}`;
  }
}

function hasId(id: string): (key: CallerKey) => boolean {
  return (key) => key.id === id;
}

/** Adds the key's secret if the key was granted or may have been. */
function withSecret(answer: CommandResult, secret: string): CommandResult {
  const granted = [
    EditOutcome.Accepted,
    EditOutcome.Unknown,
  ] as readonly unknown[];
  if (secret === "" || !granted.includes(answer.json.outcome)) return answer;
  return {
    ...answer,
    lines: [...answer.lines, `key     ${secret}`],
    json: { ...answer.json, key: secret },
  };
}
