import type { PlatformMode } from "@tanagercove/emulator";
import {
  IN_FORCE_BOUND_MS,
  type RequestFaultCase,
  requestFaultTest,
  waitFor,
} from "@tanagercove/test_helpers";

const DEADLINE_MS = 5_000;
/** Longer than an edit may take to be in force everywhere. */
const SLOW_POST_MS = 2 * IN_FORCE_BOUND_MS;

/** Above `stale_after_ms`, so that daemons act on the fault. */
const UNCONFIRMED_MS = 3_000;

interface PlatformFault {
  /** Starts the fault; the returned function ends it. */
  readonly begin: (
    faultCase: RequestFaultCase,
    beforeLastEdit: number,
  ) => () => void;
  /** Waits until the fault has had its effect on the daemons after the edit of this revision. */
  readonly waitForEffect: (
    faultCase: RequestFaultCase,
    edit: number,
  ) => Promise<unknown>;
  /** Outcome of requests for a customer that is added during the fault. */
  readonly outcomeOfAdded: string;
}

function setMode(
  { mesh: { platform } }: RequestFaultCase,
  mode: PlatformMode,
  staleRevision?: number,
): () => void {
  platform.setMode(mode, { staleRevision });
  return () => platform.setMode("normal");
}

/** Waits until every daemon has noticed that the platform's confirmations have stopped. */
async function waitUntilUnconfirmed({ mesh }: RequestFaultCase): Promise<void> {
  await waitFor(async () => {
    const statuses = await Promise.all(
      mesh.fleet.daemons.map((daemon) => daemon.status()),
    );
    return statuses.every(({ json }) =>
      Number(json.confirmation_age_ms) > UNCONFIRMED_MS
    );
  }, { timeoutMs: 30_000 });
}

const FAULTS: Readonly<Record<string, PlatformFault>> = {
  "the platform is unavailable": {
    begin: (faultCase) => setMode(faultCase, "outage"),
    waitForEffect: waitUntilUnconfirmed,
    outcomeOfAdded: "not_run customer_unknown",
  },
  "the platform is stale": {
    begin: (faultCase, staleRevision) =>
      setMode(faultCase, "stale", staleRevision),
    waitForEffect: waitUntilUnconfirmed,
    outcomeOfAdded: "not_run customer_unknown",
  },
  "a zone is cut from the platform": {
    begin: (faultCase) => faultCase.cut("zone-a", "platform"),
    waitForEffect: ({ mesh }, edit) =>
      mesh.fleet.waitUntilInForce(edit, { timeoutMs: IN_FORCE_BOUND_MS }),
    outcomeOfAdded: "answered",
  },
};

requestFaultTest(
  "should route by the configuration held",
  async (t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const edits: string[] = [];
    const publish = (nora: "full" | "bare" = "full") =>
      platform.publish(
        "plans",
        `isla = full\nnora = ${nora}\n${edits.join("")}`,
      );
    const addCustomer = (): number => {
      edits.push(`added-${edits.length + 1} = full\n`);
      return publish();
    };
    const requestThroughAll = (customer: string) =>
      Promise.all(
        fleet.daemons.map(({ id }) => faultCase.requestOutcome(id, customer)),
      );
    const fromAll = (outcome: string) => fleet.daemons.map(() => outcome);
    const waitInForce = (revision: number) =>
      fleet.waitUntilInForce(revision, { timeoutMs: IN_FORCE_BOUND_MS });
    faultCase.startLoad(fleet.daemons, { deadlineMs: DEADLINE_MS });

    for (
      const [fault, { begin, waitForEffect, outcomeOfAdded }] of Object.entries(
        FAULTS,
      )
    ) {
      // Guards against requests that wait for the platform or are routed by its stale data.
      await t.test(
        `should accept and refuse requests by the lists held while ${fault}`,
        async (t) => {
          const sinceMs = performance.now();
          const before = platform.revision;
          await waitInForce(addCustomer());
          const heldCustomer = `added-${edits.length}`;
          await faultCase.waitForRunning("reservations-1-1");
          const end = begin(faultCase, before);
          const revision = addCustomer();
          await waitForEffect(faultCase, revision);
          t.same(await requestThroughAll(heldCustomer), fromAll("answered"));
          t.same(
            await requestThroughAll(`added-${edits.length}`),
            fromAll(outcomeOfAdded),
          );
          for (const { id } of fleet.daemons) {
            await faultCase.waitForCall(
              `answer of ${id}`,
              ({ daemonId, outcome }) =>
                daemonId === id && outcome === "answered",
            );
          }
          end();
          await waitInForce(revision);
          t.same(
            await requestThroughAll(`added-${edits.length}`),
            fromAll("answered"),
          );
          const unserved = faultCase.calls.filter((call) =>
            call.customer === "isla" && call.dueAtMs >= sinceMs &&
            call.outcome !== "answered"
          );
          t.same(
            unserved,
            [],
            "every request is answered throughout the fault",
          );
        },
      );
    }

    // Guards against an edit that cuts requests in flight, and against routing by a former plan.
    await t.test(
      "should finish running requests and refuse new ones when an edit removes their service from the plan",
      async (t) => {
        const posts = await faultCase.startSlowPosts("reservations-1-1", {
          caller: "reservations-1-2",
          serviceTimeMs: SLOW_POST_MS,
          customer: "nora",
        });
        await waitInForce(publish("bare"));
        const sinceMs = performance.now();
        t.ok(posts.areRunning(), "the requests were running at the edit");
        t.same(
          await requestThroughAll("nora"),
          fromAll("not_run service_not_allowed"),
        );
        t.same(await posts.outcomes, posts.ids.map(() => "answered"));
        const refused = faultCase.calls.filter(({ customer, dueAtMs }) =>
          customer === "nora" && dueAtMs >= sinceMs
        );
        t.ok(refused.every(({ status }) => status === 403));
      },
    );
  },
  {
    plans: "isla = full\nnora = full\n",
    allowances: "full = reservations\nbare = other\n",
  },
);
