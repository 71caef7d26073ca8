import { setTimeout as sleep } from "node:timers/promises";
import { faultTest } from "@tanagercove/test_helpers";

const PAUSED = ["swatches-1-1", "reservations-1-1", "fittings-2-1"];
/**
 * Longer than the timeouts of all calls, and than 6,000 ms (3 * `stale_after_ms`). After that time without a
 * confirmation, each daemon reads the platform itself.
 */
const PAST_EVERY_TIMEOUT_MS = 10_000;

faultTest(
  "should bring daemons that were paused for longer than every timeout to the newest version",
  async (_t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const paused = PAUSED.map((id) => fleet.daemon(id));
    for (const daemon of paused) daemon.pause();
    await faultCase.applyEdit();
    // The pause is the fault under test, so its length is fixed and does not depend on a condition.
    await sleep(PAST_EVERY_TIMEOUT_MS);
    const revision = await faultCase.applyEdit();
    for (const daemon of paused) daemon.resume();
    await faultCase.expectInForce(revision);
    await faultCase.applyEdit();
  },
);
