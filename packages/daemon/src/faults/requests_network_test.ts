import { requestFaultTest } from "@tanagercove/test_helpers";

const CALLER = "reservations-1-1";
const OWNER = "reservations-1-2";

for (const action of ["cut", "silent"] as const) {
  // Guards against a second run of requests whose answers are lost between two daemons.
  requestFaultTest(
    `should report correct outcomes for requests on a link between daemons that is ${action}`,
    async (_t, faultCase) => {
      faultCase.startLoad();
      await faultCase.waitForRunning(OWNER);
      const rule = faultCase.mesh.relay!.addRule({
        from: { id: CALLER },
        to: { id: OWNER },
        bothWays: true,
        action,
      });
      await faultCase.waitForCall(
        "request of the caller's daemon that another upstream answered",
        ({ daemonId, outcome }) =>
          daemonId === CALLER && outcome === "answered",
      );
      await faultCase.sendBurst(CALLER);
      rule.remove();
      await faultCase.expectServedAgain();
    },
  );
}

// Guards against requests that are sent to an unreachable zone although their own zone can serve them.
requestFaultTest(
  "should serve callers on both sides when a zone is cut off from the others during requests",
  async (_t, faultCase) => {
    faultCase.startLoad();
    await faultCase.waitForRunning(CALLER);
    const heal = faultCase.cut("zone-a", ["zone-b", "zone-c"]);
    await faultCase.expectServedAgain(undefined, "the cut");
    heal();
    await faultCase.expectServedAgain(undefined, "the end of the cut");
  },
);
