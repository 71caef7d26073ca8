// The scenario of cases 7 and 8. A zone is cut off from the other zone and from the platform; its machines and clients go
// on. Just after the cut begins, the operator adds an unsafe route below a safe one. Instances answer requests of it with
// 500 after they ran them, since a call that they make into the other zone fails. The check: none runs more than once.
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
  Path,
  settings,
  sleep,
  Store,
  whenReady,
} from "./stand-ins-2.mjs";

const HOST = "jepu9.example";
const STABLE_WINDOW_S = 3;
const CONFIG_APPLY_S = 2;
/** Length of a zone cut in the site file. */
const CUT_S = 5.5;
const SEND_INTERVAL_MS = 50;

/** Four machines a zone, as on thistledown-mesh; the other zone needs only the one that is called. */
const MACHINES = [
  { zone: "lowlands-a", service: "reservations" },
  { zone: "lowlands-a", service: "reservations" },
  { zone: "lowlands-a", service: "reservations" },
  { zone: "lowlands-a", service: "reservations" },
  { zone: "lowlands-b", service: "fittings" },
];

/** Sends requests with `method` from `config_apply_s` after the acknowledgement until the end of the cut. */
export function cutZoneScenario({ method, network }) {
  return async (script) => {
    const { log } = script;
    const zones = ["lowlands-a", "lowlands-b"];
    const [app, inbound, outbound, ready, control, internal] = await freePorts(
      `${network}.1.1`,
      6,
    );
    const ports = { app, inbound, outbound, ready, control, internal };
    const store = new Store();
    const storeIp = `${network}.0.1`;
    await store.listen(storeIp);
    script.onClose(() => store.close());
    const machines = MACHINES.map(({ zone, service }, i) => ({
      name: `sidecar-${zone}-${i + 1}`,
      zone,
      service,
      ports,
      // Others reach the machine at `address`, over a path that the script can cut.
      address: `${network}.1.${i + 1}`,
      listenAddress: `${network}.2.${i + 1}`,
      path: new Path({
        address: `${network}.1.${i + 1}`,
        target: `${network}.2.${i + 1}`,
        ports: [inbound, control, internal],
      }),
      storePath: new Path({
        address: `${network}.3.${i + 1}`,
        target: storeIp,
        ports: [store.port],
      }),
    }));
    for (const { path, storePath } of machines) {
      for (const one of [path, storePath]) {
        await one.open();
        script.onClose(() => one.close());
      }
    }

    function setCut(isCut) {
      const zoneOf = (source) =>
        machines.find(({ address }) => address === source)?.zone;
      for (const { path, storePath, zone } of machines) {
        path.passes = (source) => !isCut || zoneOf(source) === zone;
        storePath.passes = () => !isCut || zone !== "lowlands-a";
      }
    }

    const route = (name, prefix, route_type, service, times) => ({
      name,
      host: HOST,
      prefix,
      route_type,
      service,
      max_attempts: 2,
      ...times,
    });
    const covers = { timeout_s: 2.5, target_latency_s: 0.8, priority: 1 };
    const rota = { timeout_s: 0.6, target_latency_s: 0.2, priority: 0 };
    const before = [
      route("r-covers", "/covers/", "safe", "reservations", covers),
      route("r-rota", "/rota/", "safe", "fittings", rota),
    ];
    const after = [
      ...before,
      route("r-book", "/covers/book/", "unsafe", "reservations", covers),
    ];
    const services = ["reservations", "fittings"];
    store.put("op/config", configuration(1, { routes: before, services }));

    const agent = keptConnections();
    const callsOf = new Map();
    /** An instance that needs an answer of the rota for each request, and fails with 500 without one. */
    const runWithCall = (machine) => async ({ response, run, finish }) => {
      const seen = await attempt({
        agent,
        address: machine.listenAddress,
        port: outbound,
        method: "GET",
        path: "/rota/today",
        host: HOST,
        deadlineMs: Math.min(600, run.deadlineMs),
        id: `${run.requestId}.${machine.name.slice(-1)}`,
      });
      callsOf.set(run, seen.status);
      if (response.destroyed) return finish("connection closed");
      const status = seen.status === 200 ? 200 : 500;
      finish(`answered ${status}`);
      response.writeHead(status, {
        "Attempt-Id": run.requestId,
        "Response-Signature": `s.${run.instance}.${run.requestId}`,
      });
      response.end(`${run.instance} ${run.requestId}`);
    };
    const instances = [];
    for (const [i, machine] of machines.entries()) {
      const { service, address, zone } = machine;
      const instance = new Instance({
        id: `i-${service}-${i + 1}`,
        service,
        address,
        port: app,
        zone,
        log,
        plan: service === "reservations"
          ? () => ({ handle: runWithCall(machine) })
          : () => ({ workMs: 55 }),
      });
      await instance.listen();
      script.onClose(() => instance.close());
      store.put(`servers/${instance.id}`, instance.entry());
      instances.push(instance);
    }
    for (const machine of machines) {
      const storeAddress = `${machine.storePath.address}:${store.port}`;
      script.startSidecar(
        machine.name,
        settings({ ...machine, zones, storeAddress }),
      );
    }
    await whenReady(machines);
    await sleep(1_000 * STABLE_WINDOW_S + 1_000);

    const cutAtMs = Date.now();
    if (HAS_TROUBLE) {
      log("lowlands-a is cut off from lowlands-b and from the store");
      setCut(true);
    }
    await sleep(50);
    store.put("op/config", configuration(2, { routes: after, services }));
    const acknowledgedAtMs = Date.now();
    log("the store acknowledges r2, in which /covers/book/ is unsafe");
    await sleep(1_000 * CONFIG_APPLY_S + 50);
    const inZone = machines.filter(({ zone }) => zone === "lowlands-a");
    const pending = [];
    while (Date.now() < cutAtMs + 1_000 * CUT_S - 1_000) {
      const { listenAddress } = inZone[pending.length % inZone.length];
      pending.push(attempt({
        agent,
        address: listenAddress,
        port: outbound,
        method,
        path: `/covers/book/${pending.length}`,
        host: HOST,
        deadlineMs: 5_000,
        ...(method === "GET" ? {} : { body: "two covers" }),
      }));
      await sleep(SEND_INTERVAL_MS);
    }
    await sleep(Math.max(0, cutAtMs + 1_000 * CUT_S - Date.now()));
    setCut(false);
    log("the cut has ended");
    const seen = await Promise.all(pending);
    await sleep(2_000);

    const runs = instances.flatMap((instance) => instance.runs);
    for (const result of seen) log(describe(result, script));
    for (const run of runs) {
      const call = callsOf.get(run);
      const suffix = call === undefined ? "" : ` (its call: ${call})`;
      log(describeRun(run, script) + suffix);
    }
    for (const { name, output } of script.sidecars) {
      for (const line of output.split("\n")) {
        const event = /"event":"(platform_lost|platform_back|reader_changed)"/
          .exec(line)?.[1];
        const atMs = Number(/"time_ms":(\d+)/.exec(line)?.[1]);
        const reader = /"reader":"([^"]*)"/.exec(line)?.[1] ?? "";
        if (event === undefined || atMs < cutAtMs) continue;
        log(`log of ${name}: ${event} ${reader} at ${script.timeOf(atMs)}`);
      }
    }
    const runsOf = ({ requestId }) =>
      runs.filter((run) => run.requestId === requestId);
    const ranTwice = seen.filter((result) => runsOf(result).length > 1);
    for (const result of ranTwice) {
      const places = runsOf(result).map(({ instance }) => instance);
      log(
        `TWICE ${result.requestId}: sent ${
          result.sentAtMs - acknowledgedAtMs
        } ms after the acknowledgement of r2, ran on ${places.join(" and ")}`,
      );
    }
    if (seen.every((result) => runsOf(result).length === 0)) {
      return { exitCode: COULD_NOT_RUN, verdict: "no request ran" };
    }
    return {
      exitCode: ranTwice.length > 0 ? BROKEN : HELD,
      verdict: `${ranTwice.length} of ${seen.length} ${method} requests of ` +
        "an unsafe route ran twice",
    };
  };
}
