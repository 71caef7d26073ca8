import { setTimeout as sleep } from "node:timers/promises";
import { faultTest } from "@tanagercove/test_helpers";

const PAUSED = ["swatches-1-1", "reservations-1-1", "fittings-2-1"];
/** Longer than every deadline: own readings begin at 9,000 ms. */
const PAST_EVERY_TIMEOUT_MS = 10_000;

faultTest(
  "should bring daemons that were stopped past every timeout to the newest version",
  async (_t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const paused = PAUSED.map((id) => fleet.daemon(id));
    for (const daemon of paused) daemon.pause();
    await faultCase.editAndExpectInForce();
    // The pause itself is the fault, so its length is given and waits for nothing.
    await sleep(PAST_EVERY_TIMEOUT_MS);
    const revision = await faultCase.editAndExpectInForce();
    for (const daemon of paused) daemon.resume();
    await faultCase.expectInForce(revision);
    await faultCase.editAndExpectInForce();
  },
);
