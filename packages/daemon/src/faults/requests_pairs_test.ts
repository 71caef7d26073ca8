import { requestFaultTest } from "@tanagercove/test_helpers";

const VICTIM = "reservations-1-1";

// Guards against a second run in another zone of a request whose owner daemon died in a cut zone.
requestFaultTest(
  "should run nothing twice when an owner daemon is killed while its zone is cut",
  async (_t, faultCase) => {
    faultCase.startLoad(faultCase.others(VICTIM));
    const rules = ["zone-b", "zone-c"].map((zone) =>
      faultCase.mesh.relay!.addRule({
        from: { zone: "zone-a" },
        to: { zone },
        bothWays: true,
        action: "cut",
      })
    );
    await faultCase.untilRunning(VICTIM);
    await faultCase.daemon(VICTIM).kill();
    await faultCase.servedAgain(faultCase.others(VICTIM), "the kill");
    for (const rule of rules) rule.remove();
    await faultCase.servedAgain(faultCase.others(VICTIM), "the cut");
  },
);

// Guards against dependence of the request path on the platform while it copes with an upstream.
requestFaultTest(
  "should run nothing twice when an upstream is frozen while the platform is out",
  async (_t, faultCase) => {
    const { platform } = faultCase.mesh;
    faultCase.startLoad();
    platform.setMode("outage");
    await faultCase.untilRunning(VICTIM);
    await faultCase.upstream(VICTIM).control({ action: "freeze" });
    await faultCase.untilTold(
      "deadline of a non-idempotent request",
      ({ reason, idempotent }) => reason === "deadline" && !idempotent,
    );
    await faultCase.upstream(VICTIM).control({ action: "thaw" });
    await faultCase.servedAgain(undefined, "the freeze");
    platform.setMode("normal");
    await faultCase.servedAgain(undefined, "the outage");
  },
);
