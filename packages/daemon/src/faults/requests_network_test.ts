import { requestFaultTest } from "@tanagercove/test_helpers";

const CALLER = "reservations-1-1";
const OWNER = "reservations-1-2";

for (const action of ["cut", "silent"] as const) {
  // Guards against a second run of requests whose answers are lost between two daemons.
  requestFaultTest(
    `should tell the truth about requests on a link between daemons that is ${action}`,
    async (_t, faultCase) => {
      faultCase.startLoad();
      await faultCase.untilRunning(OWNER);
      const rule = faultCase.mesh.relay!.addRule({
        from: { id: CALLER },
        to: { id: OWNER },
        bothWays: true,
        action,
      });
      await faultCase.untilTold(
        "request of the caller's daemon that another upstream answered",
        ({ daemonId, outcome }) =>
          daemonId === CALLER && outcome === "answered",
      );
      await faultCase.burst(CALLER);
      rule.remove();
      await faultCase.servedAgain();
    },
  );
}

// Guards against requests that are sent to an unreachable zone although their own zone can serve them.
requestFaultTest(
  "should serve each side when a zone is cut from the others during requests",
  async (_t, faultCase) => {
    faultCase.startLoad();
    await faultCase.untilRunning(CALLER);
    const heal = faultCase.cut("zone-a", ["zone-b", "zone-c"]);
    await faultCase.servedAgain(undefined, "the cut");
    heal();
    await faultCase.servedAgain(undefined, "the end of the cut");
  },
);
