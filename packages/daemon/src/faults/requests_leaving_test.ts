import {
  NO_NEW_WORK_BOUND_MS,
  type RequestFaultCase,
  requestFaultTest,
} from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";
const NEIGHBOUR = "reservations-1-2";
const SIGTERM_GRACE_MS = 20_000;

// Guards against a shutdown that cuts requests on the upstream or in the queue.
requestFaultTest(
  "should cut no request in flight after SIGTERM with a full queue, and start none on the upstream later than 3 s after it",
  async (t, faultCase) => {
    faultCase.startLoad(faultCase.otherDaemons(VICTIM));
    const bursts = await faultCase.fillQueue(VICTIM, [VICTIM, NEIGHBOUR]);
    const leavingSinceMs = Date.now();
    const stopped = faultCase.daemon(VICTIM).stop(SIGTERM_GRACE_MS);
    const served = faultCase.expectServedAgain(faultCase.otherDaemons(VICTIM));
    await bursts.ended;
    await stopped;
    await served;
    expectNoLateWork(t, faultCase, leavingSinceMs);
    const ends = faultCase.executions(VICTIM).map(({ end }) => end);
    t.ok(ends.every((end) => end === "answered"), ends.join());
    const cut = faultCase.calls.filter(({ outcome, reason }) =>
      outcome === "none" || reason === "cut"
    );
    t.same(cut, [], "no caller lost its connection or its answer");
  },
);

const LEAVE_CAUSES: Readonly<
  Record<string, (faultCase: RequestFaultCase) => Promise<unknown>>
> = {
  "it reports draining": (faultCase) =>
    faultCase.upstream(VICTIM).control({
      action: "set_state",
      state: "draining",
    }),
  "the VM list marks it as leaving": ({ mesh }) =>
    Promise.resolve(mesh.publishVms({ [VICTIM]: "leaving" })),
};

for (const [cause, leave] of Object.entries(LEAVE_CAUSES)) {
  // Guards against new work on an upstream that has been leaving for seconds.
  requestFaultTest(
    `should give an upstream no new work later than 3 s after ${cause}`,
    async (t, faultCase) => {
      faultCase.startLoad();
      await faultCase.waitForRunning(VICTIM);
      const leavingSinceMs = Date.now();
      await leave(faultCase);
      await faultCase.expectServedAgain();
      expectNoLateWork(t, faultCase, leavingSinceMs);
    },
  );
}

function expectNoLateWork(
  t: Parameters<Parameters<typeof requestFaultTest>[1]>[0],
  faultCase: RequestFaultCase,
  leavingSinceMs: number,
): void {
  const late = faultCase.executions(VICTIM).filter(({ startedAtMs }) =>
    startedAtMs > leavingSinceMs + NO_NEW_WORK_BOUND_MS
  );
  t.same(late, [], "no new work later than allowed");
  t.ok(faultCase.executions(VICTIM).length > 0, "it had work before");
}
