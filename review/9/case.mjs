// A planned stop of one machine in calm, with grace_s = 10 as in the large deployment: requests that the machine takes
// between 3 s and 4.5 s after the SIGTERM are cut 0.4 s before the end of the grace while their instance is at work.
import {
  attempt,
  BROKEN,
  configuration,
  COULD_NOT_RUN,
  describe,
  describeRun,
  freePorts,
  HAS_TROUBLE,
  HELD,
  Instance,
  keptConnections,
  ReadinessChecks,
  runScript,
  settings,
  sleep,
  Store,
  whenReady,
} from "../stand-ins-2.mjs";

const GRACE_S = 10;
const ROUTE_TIMEOUT_MS = 8_000;
const DEADLINE_MS = 15_000;
/** Venue plans take 0.93 s on average and up to 5.6 s at an instance of usual speed; some instances have 0.7 of it. */
const WORK_MS = 930;
const LONG_WORK_MS = 6_000;
const SEND_INTERVAL_MS = 150;
const HOST = "hulo84.example";

await runScript(import.meta.url, async (script) => {
  const { log } = script;
  const zones = ["lowlands-a", "lowlands-b"];
  const [app, inbound, outbound, ready, control, internal] = await freePorts(
    "127.64.1.1",
    6,
  );
  const ports = { app, inbound, outbound, ready, control, internal };
  const store = new Store();
  await store.listen("127.64.0.1");
  script.onClose(() => store.close());
  const storeAddress = `127.64.0.1:${store.port}`;
  const routes = [{
    name: "r-venue",
    host: HOST,
    prefix: "/venues/",
    route_type: "safe",
    timeout_s: ROUTE_TIMEOUT_MS / 1_000,
    target_latency_s: 2.5,
    priority: 2,
    service: "venues",
    max_attempts: 2,
  }];
  store.put("op/config", configuration(1, { routes, services: ["venues"] }));
  const machines = zones.map((zone, i) => ({
    name: `sidecar-${zone}-1`,
    zone,
    address: `127.64.1.${i + 1}`,
    ports,
  }));
  const instances = [];
  for (const [i, { zone, address }] of machines.entries()) {
    const instance = new Instance({
      id: `i-venues-${i + 1}`,
      service: "venues",
      address,
      port: app,
      zone,
      log,
      plan: ({ path }) => ({
        workMs: path.endsWith("long") ? LONG_WORK_MS : WORK_MS,
      }),
    });
    await instance.listen();
    script.onClose(() => instance.close());
    store.put(`servers/${instance.id}`, instance.entry());
    instances.push(instance);
  }
  const sidecars = machines.map((machine) =>
    script.startSidecar(
      machine.name,
      settings({
        ...machine,
        zones,
        service: "venues",
        storeAddress,
        bounds: { grace_s: GRACE_S },
      }),
    )
  );
  await whenReady(machines);
  const checks = new ReadinessChecks(machines, log);
  script.onClose(() => checks.close());
  // Longer than stable_window_s, so that both machines are in touch.
  await sleep(4_000);

  const [stopped] = machines;
  const agent = keptConnections();
  const pending = [];
  let termAtMs;
  let count = 0;
  const send = () => {
    if (!checks.hasWork(stopped)) return;
    count += 1;
    const isLong = count % 3 === 0;
    pending.push(attempt({
      agent,
      address: stopped.address,
      port: outbound,
      method: "GET",
      path: `/venues/${isLong ? "long" : "short"}`,
      host: HOST,
      deadlineMs: DEADLINE_MS,
    }));
  };
  const sending = setInterval(send, SEND_INTERVAL_MS);
  await sleep(2_000);
  termAtMs = Date.now();
  if (HAS_TROUBLE) {
    log(`SIGTERM to ${stopped.name}`);
    sidecars[0].child.kill("SIGTERM");
  }
  await sleep(5_500);
  clearInterval(sending);
  if (HAS_TROUBLE) {
    await Promise.race([sidecars[0].ended, sleep(GRACE_S * 1_000)]);
  }
  const seen = await Promise.all(pending);
  const runs = instances.flatMap((instance) => instance.runs);
  for (const call of seen) log(describe(call, script));
  for (const run of runs) log(describeRun(run, script));

  const lateAfterMs = 3_000;
  const isCut = (call) =>
    call.signature === undefined && call.status !== 503 &&
    call.sentAtMs >= termAtMs + lateAfterMs &&
    call.endedAtMs < call.sentAtMs + ROUTE_TIMEOUT_MS &&
    runs.some(({ requestId, end }) =>
      requestId === call.requestId && end === "connection closed"
    );
  const late = seen.filter(({ sentAtMs }) =>
    sentAtMs >= termAtMs + lateAfterMs
  );
  const lateServed = late.filter(({ signature }) => signature !== undefined);
  const cut = seen.filter(isCut);
  for (const { requestId, sentAtMs, endedAtMs, status } of cut) {
    log(
      `LOST ${requestId}: sent ${sentAtMs - termAtMs} ms after the SIGTERM, ` +
        `${status} ${
          endedAtMs - termAtMs
        } ms after it, with its instance at work`,
    );
  }
  if (late.length === 0) {
    return { exitCode: COULD_NOT_RUN, verdict: "no request was sent late" };
  }
  return {
    exitCode: cut.length > 0 ? BROKEN : HELD,
    verdict:
      `${cut.length} of ${late.length} requests sent later than 3 s after the ` +
      `SIGTERM were broken off with their instance at work; ${lateServed.length} were served`,
  };
});
