import t, { type Test } from "tap";
import { request } from "undici";
import type {
  DaemonProcess,
  Mesh,
  RuleHandle,
  StartMeshOptions,
} from "@tanagercove/emulator";
import { HEADERS } from "@tanagercove/types";
import { waitFor } from "./wait_for.ts";
import { openMesh } from "./open_mesh.ts";

/** Bound stated in docs/design.md: time from the end of the last fault until a version is in force. */
export const IN_FORCE_BOUND_MS = 3_000;

/** Zones of every fault case. In a `FaultCase`, each has three daemons, of which two read the platform. */
export const FAULT_ZONES = ["zone-a", "zone-b", "zone-c"] as const;

const NOT_ROUTED_REASONS: readonly string[] = ["customer_unknown", "starting"];
/**
 * Timeout for the first version to be in force in a new fleet. No daemon holds a version at first, so each daemon
 * waits up to `join_timeout_ms` for answers of all daemons that it knows.
 */
const FIRST_VERSION_TIMEOUT_MS = 20_000;
const REQUEST_DEADLINE_MS = 1_000;
const SERVICES = ["swatches", "reservations", "fittings"];
const READERS_PER_ZONE = 2;
const CUSTOMER_COUNT = 200;

/** A mesh under test and the common steps of tests of its distribution. */
export class FaultCase {
  readonly mesh: Mesh;
  readonly #t: Test;
  #edits = 0;

  constructor(t: Test, mesh: Mesh) {
    this.#t = t;
    this.mesh = mesh;
  }

  /** Customer that the newest edit added; before the first edit, a customer that is in no plans. */
  get newestCustomer(): string {
    return customerOf(this.#edits);
  }

  /** The plans after the newest edit. */
  get newestPlans(): string {
    return plansAfterEdits(this.#edits);
  }

  /** Publishes a valid edit of the plans and returns its revision. */
  edit(): number {
    this.#edits += 1;
    return this.mesh.platform.publish("plans", plansAfterEdits(this.#edits));
  }

  /**
   * Requires that a revision is in force on the daemons (by default all active ones) within the bound from now,
   * and that their request paths know the customer of the newest edit by then.
   */
  async expectInForce(
    revision: number,
    daemons: readonly DaemonProcess[] = this.mesh.fleet.active,
  ): Promise<void> {
    const startedAtMs = performance.now();
    const elapsedMs = await this.mesh.fleet.waitUntilInForce(revision, {
      timeoutMs: IN_FORCE_BOUND_MS,
      daemons,
    });
    const deadlineMs = startedAtMs + IN_FORCE_BOUND_MS;
    await Promise.all(
      daemons.map((daemon) => this.#expectRoutedBy(daemon, deadlineMs)),
    );
    this.#t.pass(
      `revision ${revision} is in force on ${daemons.length} daemons after ${
        Math.round(elapsedMs)
      } ms`,
    );
  }

  /** Publishes an edit and requires that it is in force on the daemons within the bound. */
  async applyEdit(daemons?: readonly DaemonProcess[]): Promise<number> {
    const revision = this.edit();
    await this.expectInForce(revision, daemons);
    return revision;
  }

  /** Sends a request of the customer to a daemon; returns the reason in the response, or else its outcome. */
  async requestOutcome(
    daemon: DaemonProcess,
    customer: string,
  ): Promise<string> {
    const url = this.mesh.callerUrl(daemon.id);
    const response = await request(`${url}/fault-case`, {
      headers: {
        [HEADERS.customer]: customer,
        [HEADERS.service]: "swatches",
        // Short, since no answer arrives through a paused daemon; these tests check no answers of upstreams.
        [HEADERS.deadlineMs]: String(REQUEST_DEADLINE_MS),
      },
    });
    await response.body.dump();
    const { headers } = response;
    return String(headers[HEADERS.reason] ?? headers[HEADERS.outcome]);
  }

  /** Cuts a zone from the others, in both directions, until the relay's rules are cleared. */
  cutFromZones(zone: string): void {
    for (const other of FAULT_ZONES) {
      if (other === zone) continue;
      this.mesh.relay!.addRule({
        from: { zone },
        to: { zone: other },
        bothWays: true,
        action: "cut",
      });
    }
  }

  /** Cuts a zone from the platform until the rule is removed or the relay's rules are cleared. */
  cutFromPlatform(zone: string): RuleHandle {
    return this.mesh.relay!.addRule({
      from: { zone },
      to: { kind: "platform" },
      action: "cut",
    });
  }

  /** Waits until the relay has refused a connection from this zone, which proves that a cut took effect. */
  async waitForRefusedConnection(
    fromZone: string,
    to: { readonly zone: string } | "platform",
  ): Promise<void> {
    const { fleet, relay } = this.mesh;
    const idsOf = (zone: string) => fleet.zone(zone).map(({ id }) => id);
    const sources = idsOf(fromZone);
    const targets = to === "platform" ? [to] : idsOf(to.zone);
    await waitFor(
      () =>
        relay!.traffic.some((link) =>
          sources.includes(link.from) && targets.includes(link.to) &&
          link.refusedConnections > 0
        ),
      { what: `refused connection from ${fromZone}` },
    );
  }

  /** Waits until these daemons have two readers per zone on average, and returns the readers. */
  async waitForReaders(
    daemons: readonly DaemonProcess[],
  ): Promise<readonly DaemonProcess[]> {
    const zones = new Set(daemons.map(({ vm }) => vm.zone));
    return await waitFor(async () => {
      const roles = await Promise.all(daemons.map(roleOf));
      const readers = daemons.filter((_, index) => roles[index] === "reader");
      return readers.length === READERS_PER_ZONE * zones.size
        ? readers
        : undefined;
    }, { what: "two readers in each zone" });
  }

  /**
   * Requires that the request path of a daemon knows the customer of the newest edit by the deadline; passes if
   * there was no edit.
   */
  async #expectRoutedBy(
    daemon: DaemonProcess,
    deadlineMs: number,
  ): Promise<void> {
    if (this.#edits === 0) return;
    let outcome: string;
    do {
      outcome = await this.requestOutcome(daemon, customerOf(this.#edits));
      if (!NOT_ROUTED_REASONS.includes(outcome)) return;
    } while (performance.now() < deadlineMs);
    this.#t.fail(`${daemon.id} holds the version and answers "${outcome}"`);
  }
}

/** Runs a test with real daemons and checks every version that any of them reports during the test. */
export function faultTest(
  name: string,
  body: (t: Test, faultCase: FaultCase) => Promise<void>,
  { settings }: Pick<StartMeshOptions, "settings"> = {},
): void {
  t.test(name, async (t) => {
    const mesh = await openMesh(t, {
      zones: FAULT_ZONES,
      services: SERVICES,
      settings,
      plans: plansAfterEdits(0),
      allowances: "basic = swatches\nfull = swatches, reservations, fittings\n",
    });
    const faultCase = new FaultCase(t, mesh);
    const { history } = mesh.fleet;
    await mesh.fleet.waitUntilInForce(1, {
      timeoutMs: FIRST_VERSION_TIMEOUT_MS,
    });
    await waitFor(() => serves(mesh), { timeoutMs: FIRST_VERSION_TIMEOUT_MS });
    await body(t, faultCase);
    t.same(
      history.violations,
      [],
      "no daemon went back to an older version or held a partial one",
    );
    t.ok(history.observationCount > mesh.vms.length);
  });
}

async function roleOf(daemon: DaemonProcess): Promise<string | undefined> {
  const dump = await daemon.dump().catch(() => undefined) as {
    distribution?: { role?: string };
  } | undefined;
  return dump?.distribution?.role;
}

/** Returns whether all daemons serve; one that does not answer yet counts as not serving. */
async function serves({ fleet }: Mesh): Promise<boolean> {
  const statuses = await Promise.all(
    fleet.daemons.map((daemon) => daemon.status().catch(() => undefined)),
  );
  return statuses.every((status) => status?.json.state === "serving");
}

/** Returns the plans after this number of edits; each edit adds a customer, so that no two texts are equal. */
export function plansAfterEdits(edits: number): string {
  const customers = Array.from(
    { length: CUSTOMER_COUNT },
    (_, index) => `customer-${index} = basic\n`,
  );
  const added = Array.from(
    { length: edits },
    (_, index) => `${customerOf(index + 1)} = full\n`,
  );
  return [...customers, ...added].join("");
}

function customerOf(edit: number): string {
  return `edit-${edit}`;
}
