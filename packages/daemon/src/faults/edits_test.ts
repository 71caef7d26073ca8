import { setTimeout as sleep } from "node:timers/promises";
import { type DaemonProcess, seededRandom } from "@tanagercove/emulator";
import type { RefusedVersion } from "@tanagercove/versions";
import {
  FAULT_ZONES,
  faultTest,
  IN_FORCE_BOUND_MS,
  plansAfterEdits,
  waitFor,
} from "@tanagercove/test_helpers";

const SEED = 20_261_204;
const EDITS_PER_OPERATOR = 25;
const BAD_PLANS = "isla = full\nno equals sign in this line\n";

faultTest(
  "should refuse a bad version between two good ones in every zone and keep the first on every daemon",
  async (t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const good = await faultCase.applyEdit();
    const bad = platform.publish("plans", BAD_PLANS);
    // Invalid versions are not pushed, so only daemons that read the platform see them.
    for (const zone of FAULT_ZONES) {
      const refusal = await waitFor(
        () => findRefusal(fleet.zone(zone), bad),
        { what: `refusal in ${zone}`, timeoutMs: IN_FORCE_BOUND_MS },
      );
      t.match(refusal, /plans:2: /);
    }
    for (const daemon of fleet.daemons) {
      t.equal((await daemon.status()).revision, good);
    }
    await faultCase.applyEdit();
    platform.publish("plans", BAD_PLANS);
    await faultCase.applyEdit();
  },
);

faultTest(
  "should hold only published pairs of lists while two operators edit at the same time",
  async (t, faultCase) => {
    t.comment(`seed ${SEED}`);
    const { platform } = faultCase.mesh;
    const random = seededRandom(SEED);
    const operator = async (publish: (edit: number) => number) => {
      for (let edit = 1; edit <= EDITS_PER_OPERATOR; edit += 1) {
        await sleep(random() * 80);
        if (edit % 5 === 0) platform.beforeNextRead(() => publish(edit + 0.5));
        publish(edit);
      }
    };
    await Promise.all([
      operator((edit) =>
        platform.publish("plans", `${plansAfterEdits(0)}editor = p-${edit}\n`)
      ),
      operator((edit) =>
        platform.publish(
          "allowances",
          `basic = swatches\nfull = swatches\np-${edit} = swatches\n`,
        )
      ),
    ]);
    platform.beforeNextRead(() => {});
    await faultCase.applyEdit();
    t.ok(platform.versions.length > 2 * EDITS_PER_OPERATOR);
  },
);

/** Why one of the daemons refused a version; undefined if none did. */
async function findRefusal(
  daemons: readonly DaemonProcess[],
  revision: number,
): Promise<string | undefined> {
  const statuses = await Promise.all(daemons.map((daemon) => daemon.status()));
  return statuses
    .flatMap(({ json }) => json.refused as readonly RefusedVersion[])
    .find((refused) => refused.revision === revision)?.reason;
}
