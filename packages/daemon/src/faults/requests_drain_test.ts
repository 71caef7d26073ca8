import type { IniSections } from "@tanagercove/emulator";
import {
  NO_NEW_WORK_BOUND_MS,
  type RequestFaultCase,
  requestFaultTest,
  waitFor,
} from "@tanagercove/test_helpers";

/** Longer than the time after which a leaving upstream gets no new work. */
const SLOW_POST_MS = 4_000;
const SIGTERM_GRACE_MS = 20_000;
const FROZEN = "reservations-1-2";
const FROZEN_DRAIN_TIMEOUT_MS = 2_000;
/** Less than the deadline of the slow POSTs, 10 s, so that only the drain timeout can end the process by then. */
const FROZEN_MAX_DRAIN_MS = 8_000;

interface Drain {
  readonly victim: string;
  /** Daemon that receives the slow POSTs for the victim's upstream. */
  readonly caller: string;
  /** Called before SIGTERM: starts the fault, unless `whileDraining` does. The returned function ends it. */
  readonly startFault?: (
    faultCase: RequestFaultCase,
  ) => Promise<() => void> | (() => void);
  readonly whileDraining?: (faultCase: RequestFaultCase) => unknown;
  /** End of the process according to its log; undefined if it is killed before it logs one. */
  readonly end?: "stopped" | "drain_timed_out";
  readonly expectedOutcome: string;
}

const DRAINS: Readonly<Record<string, Drain>> = {
  "its zone is cut off from another zone": {
    victim: "reservations-1-1",
    caller: "reservations-1-2",
    startFault: (faultCase) => faultCase.cut("zone-a", ["zone-b"]),
    end: "stopped",
    expectedOutcome: "answered",
  },
  "the platform is unavailable": {
    victim: "reservations-2-1",
    caller: "reservations-2-2",
    startFault: async ({ mesh: { platform } }) => {
      platform.setMode("outage");
      const { unavailable } = platform.calls;
      await waitFor(() => platform.calls.unavailable >= unavailable + 10);
      return () => platform.setMode("normal");
    },
    end: "stopped",
    expectedOutcome: "answered",
  },
  "it is killed": {
    victim: "reservations-3-1",
    caller: "reservations-3-2",
    whileDraining: (faultCase) => faultCase.daemon("reservations-3-1").kill(),
    expectedOutcome: "unknown cut",
  },
  "its upstream is frozen": {
    victim: FROZEN,
    caller: "reservations-1-1",
    startFault: (faultCase) => () => faultCase.upstream(FROZEN).resume(),
    whileDraining: (faultCase) => faultCase.upstream(FROZEN).pause(),
    end: "drain_timed_out",
    expectedOutcome: "unknown cut",
  },
};

// Guards against a drain that cuts requests, accepts new ones, does not end or reports a wrong outcome.
requestFaultTest(
  "should drain under faults",
  async (t, faultCase) => {
    faultCase.startLoad();
    for (const [fault, drain] of Object.entries(DRAINS)) {
      await t.test(
        `should end the drain of a daemon and report correct outcomes while ${fault}`,
        (t) => expectDrain(t, { ...drain, faultCase }),
      );
    }
  },
  {
    settings: ({ vm }): IniSections =>
      vm.id === FROZEN
        ? { daemon: { drain_timeout_ms: FROZEN_DRAIN_TIMEOUT_MS } }
        : {},
  },
);

async function expectDrain(
  t: Parameters<Parameters<typeof requestFaultTest>[1]>[0],
  { faultCase, ...drain }: Drain & { readonly faultCase: RequestFaultCase },
): Promise<void> {
  const { victim, caller } = drain;
  const daemon = faultCase.daemon(victim);
  const endFault = await drain.startFault?.(faultCase);
  const posts = await faultCase.startSlowPosts(victim, {
    caller,
    serviceTimeMs: SLOW_POST_MS,
  });
  const leavingSinceMs = Date.now();
  const logged = (text: string) =>
    daemon.log.lines.some((line) => line.includes(text));
  const stopped = daemon.stop(SIGTERM_GRACE_MS);
  await waitFor(() => logged('"drain_started"'), {
    what: "start of the drain",
  });
  t.ok(posts.areRunning(), "the requests were running when the drain started");
  await drain.whileDraining?.(faultCase);
  await stopped;
  const tookMs = Date.now() - leavingSinceMs;

  t.same(await posts.outcomes, posts.ids.map(() => drain.expectedOutcome));
  t.equal(logged('"daemon_stopped"'), drain.end !== undefined);
  if (drain.end !== undefined) {
    t.ok(logged(`"outcome":"${drain.end}"`), `ends as ${drain.end}`);
  }
  if (drain.end === "drain_timed_out") {
    t.ok(tookMs >= FROZEN_DRAIN_TIMEOUT_MS, `drained for ${tookMs} ms`);
    t.ok(tookMs < FROZEN_MAX_DRAIN_MS, `drained for ${tookMs} ms`);
  }
  const late = faultCase.executions(victim).filter(({ startedAtMs }) =>
    startedAtMs > leavingSinceMs + NO_NEW_WORK_BOUND_MS
  );
  t.same(late, [], "no new work later than allowed");
  await faultCase.expectServedAgain(faultCase.otherDaemons(victim));
  endFault?.();
  await daemon.start();
}
