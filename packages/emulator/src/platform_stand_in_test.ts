import t from "tap";
import { createHttpPlatform } from "@tanagercove/platform";
import { waitFor } from "@tanagercove/test_helpers";
import {
  startPlatformStandIn,
  type StartPlatformStandInOptions,
} from "./platform_stand_in.ts";

async function start(
  t: { teardown(close: () => Promise<void>): void },
  options: StartPlatformStandInOptions = {},
) {
  const standIn = await startPlatformStandIn(options);
  const platform = createHttpPlatform({ url: standIn.url, timeoutMs: 200 });
  t.teardown(async () => {
    await platform.close();
    await standIn.close();
  });
  const watch = (afterRevision: number) =>
    platform.watchIndex({ afterRevision, waitMs: 300 });
  return { standIn, platform, watch };
}

t.test("should answer a waiting watch with the revision of each value after a publication", async (t) => {
  const { standIn, watch } = await start(t);
  const waiting = watch(1);
  await waitFor(() => standIn.calls.watch === 1);
  standIn.publish("plans", "isla = basic\n");
  t.same((await waiting).unwrapOr(undefined as never), {
    revision: 2,
    keys: { plans: 2, allowances: 1, vms: 1 },
  });
  t.match(standIn.calls, { watch: 1, index: 0, value: 0, total: 1 });
});

t.test("should answer 503 in an outage, nothing when silent and 429 above the rate", async (t) => {
  const { standIn, platform } = await start(t, { callsPerSecond: 3 });
  const failure = async () =>
    (await platform.readValue("plans")).match({
      Ok: () => "none",
      Err: ({ kind }) => kind as string,
    });
  standIn.setMode("outage");
  t.equal(await failure(), "unavailable");
  standIn.setMode("silent");
  t.equal(await failure(), "timeout");
  standIn.setMode("normal");
  standIn.setCallsPerSecond(0);
  t.equal(await failure(), "rate_limited");
  t.match(standIn.calls, { value: 3, rateLimited: 1, unavailable: 1 });
});

t.test("should serve an older state when stale, values and index alike", async (t) => {
  const { standIn, platform, watch } = await start(t);
  standIn.publish("plans", "isla = basic\n");
  standIn.publish("plans", "isla = full\n");
  standIn.setMode("stale", { staleRevision: 2 });
  t.match(await watch(0), { value: { revision: 2 } });
  t.match(await platform.readValue("plans"), {
    value: { revision: 2, value: "isla = basic\n" },
  });
  standIn.setMode("normal");
  t.match(await watch(0), { value: { revision: 3 } });
});

t.test("should run an action between a read of the index and the next read of a value", async (t) => {
  const { standIn, platform, watch } = await start(t);
  standIn.beforeNextRead(() => standIn.publish("plans", "isla = full\n"));
  t.match(await watch(0), { value: { keys: { plans: 1 } } });
  t.match(await platform.readValue("plans"), { value: { revision: 2 } });
});

t.test("should leave silenced watches without an answer while new ones work", async (t) => {
  const { standIn, watch } = await start(t);
  const silenced = watch(1);
  await waitFor(() => standIn.calls.watch === 1);
  t.equal(standIn.silenceWatches(), 1);
  standIn.publish("plans", "isla = basic\n");
  t.match(await silenced, { error: { kind: "timeout" } });
  t.match(await watch(1), { value: { revision: 2 } });
});

t.test("should record every version, its validity and a replacement under the same revision", async (t) => {
  const { standIn } = await start(t);
  standIn.publish("plans", "no equals sign");
  standIn.publish("vms", "");
  standIn.replaceWithoutRevision("plans", "isla = basic\n");
  const versions = standIn.versions.map(({ revision, valid }) => [
    revision,
    valid,
  ]);
  t.same(versions, [[1, true], [2, false], [2, true]]);
  t.not(standIn.versions[1]?.hash, standIn.versions[2]?.hash);
});
