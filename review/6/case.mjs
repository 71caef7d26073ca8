// Another writer puts one entry into the platform's store whose field `info` is of another type: a list of nested lists.
// Every sidecar ends by itself when it reads the entry, and again after each restart.
import {
  attempt,
  BROKEN,
  configuration,
  COULD_NOT_RUN,
  describe,
  freePorts,
  HAS_TROUBLE,
  HELD,
  Instance,
  keptConnections,
  runScript,
  settings,
  sleep,
  Store,
  whenReady,
} from "../stand-ins-2.mjs";

const HOST = "hulo84.example";
const ZONES = ["lowlands-a", "lowlands-b", "lowlands-c"];
/** The value has twice as many bytes: 200 KB of the 1 MiB that the store takes. */
const NESTED_LISTS = 100_000;
const RESTART_DELAY_MS = 300;
/** Starts of one machine's process after which the script does not start it again. */
const MAX_STARTS = 4;
const SEND_INTERVAL_MS = 12;

await runScript(import.meta.url, async (script) => {
  const { log } = script;
  const [app, inbound, outbound, ready, control, internal] = await freePorts(
    "127.61.1.1",
    6,
  );
  const ports = { app, inbound, outbound, ready, control, internal };
  const store = new Store();
  await store.listen("127.61.0.1");
  script.onClose(() => store.close());
  const routes = [{
    name: "r-swatch",
    host: HOST,
    prefix: "/swatches/",
    route_type: "safe",
    timeout_s: 2,
    target_latency_s: 0.6,
    priority: 2,
    service: "swatches",
    max_attempts: 2,
  }];
  store.put("op/config", configuration(1, { routes, services: ["swatches"] }));
  const machines = ZONES.map((zone, i) => ({
    name: `sidecar-${zone}-1`,
    zone,
    service: "swatches",
    address: `127.61.1.${i + 1}`,
    ports,
  }));
  const instances = [];
  for (const [i, { zone, address, service }] of machines.entries()) {
    const instance = new Instance({
      id: `i-swatches-${i + 1}`,
      service,
      address,
      port: app,
      zone,
      log,
      plan: () => ({ workMs: 220 }),
    });
    await instance.listen();
    script.onClose(() => instance.close());
    store.put(`servers/${instance.id}`, instance.entry());
    instances.push(instance);
  }

  const ends = [];
  let isOver = false;
  /** Starts a machine's process, and starts it again when it has ended, as the platform does. */
  function start(machine, startCount = 1) {
    const lines = settings({
      ...machine,
      zones: ZONES,
      storeAddress: `127.61.0.1:${store.port}`,
    });
    const sidecar = script.startSidecar(machine.name, lines);
    void sidecar.ended.then(async ({ code, signal }) => {
      if (isOver) return;
      ends.push({ machine, code, signal });
      const line = sidecar.output.trim().split("\n").at(-1);
      log(`last line of ${machine.name}: ${line.slice(0, 600)}`);
      await sleep(RESTART_DELAY_MS);
      if (!isOver && startCount < MAX_STARTS) start(machine, startCount + 1);
    });
  }

  for (const machine of machines) start(machine);
  await whenReady(machines);
  await sleep(4_000);

  const agent = keptConnections();
  const pending = [];
  const sending = setInterval(() => {
    const { address } = machines[pending.length % machines.length];
    pending.push(attempt({
      agent,
      address,
      port: outbound,
      method: "GET",
      path: `/swatches/${pending.length}`,
      host: HOST,
      deadlineMs: 4_000,
    }));
  }, SEND_INTERVAL_MS);
  await sleep(2_000);
  if (HAS_TROUBLE) {
    const info = "[".repeat(NESTED_LISTS) + "]".repeat(NESTED_LISTS);
    const status = { state: "ready", seq: 1, cold_remaining_s: 0 };
    store.put(
      "servers/i-of-another-writer",
      `{"address":"127.61.9.9:${app}","info":${info},"status":${
        JSON.stringify(status)
      }}`,
    );
    log("another writer puts servers/i-of-another-writer");
  }
  await sleep(6_000);
  clearInterval(sending);
  const seen = await Promise.all(pending);
  isOver = true;
  for (const result of seen) log(describe(result, script));
  const runs = instances.flatMap((instance) => instance.runs);
  const lost = seen.filter(({ requestId, status }) =>
    String(status).startsWith("cut") &&
    runs.some((run) => run.requestId === requestId)
  );
  for (const { requestId, status } of lost) {
    log(`LOST ${requestId}: passed on to an instance, then ${status}`);
  }
  const served = seen.filter(({ status }) => status === 200).length;
  if (served === 0) {
    return { exitCode: COULD_NOT_RUN, verdict: "no request was served" };
  }
  return {
    exitCode: ends.length > 0 ? BROKEN : HELD,
    verdict: `processes ended by themselves ${ends.length} times on ` +
      `${
        new Set(ends.map(({ machine }) => machine.name)).size
      } of ${machines.length} machines; ` +
      `${lost.length} requests were cut after they had been passed on; ${served} of ${seen.length} were served`,
  };
});
