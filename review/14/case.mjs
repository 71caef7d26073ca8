import { writeFileSync } from "node:fs";
import {
  call,
  CannotRun,
  choosePorts,
  configuration,
  Instance,
  Machine,
  network,
  now,
  route,
  sleep,
  Store,
} from "../stand-ins-3.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const lines = [];
const startedAt = now();
const record = (text) => {
  const line = `${((now() - startedAt) / 1_000).toFixed(2)} s  ${text}`;
  lines.push(line);
  console.log(line);
};

/** RECOVER: requests sent later than this after the machines are back count. */
const RECOVER_MS = 15_000;
const MEASURED_MS = 6_000;

const at = network();
const store = new Store();
const machines = [];

/** Sends requests to all machines for a time; returns the share of them that is served. */
async function measure(what, forMs) {
  const endAt = now() + forMs;
  const calls = [];
  while (now() < endAt) {
    for (const machine of machines) {
      calls.push(call(machine, { path: "/browse/x" }));
    }
    await sleep(100);
  }
  const ended = await Promise.all(calls);
  const served = ended.filter(({ status, headers, isWhole }) =>
    status === 200 && isWhole && headers["response-signature"] !== undefined
  );
  const counts = {};
  for (const { status, error } of ended) {
    const key = status ?? error;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  const share = served.length / ended.length;
  record(
    `${what}: ${ended.length} requests sent, ${served.length} served ` +
      `(${JSON.stringify(counts)})`,
  );
  return share;
}

async function run() {
  await store.listen(at(9));
  const ports = await choosePorts(at(1));
  for (const i of [1, 2, 3]) {
    const instance = new Instance({
      id: `i-${i}b1f00d`,
      service: "shop",
      address: at(i),
      zone: `zone-${i}`,
    });
    await instance.listen();
    machines.push(
      new Machine({
        node: `sidecar-zone-${i}-1`,
        zone: `zone-${i}`,
        address: at(i),
        instance,
        store,
        ports,
      }),
    );
  }
  store.put(
    "op/config",
    configuration(7, {
      services: ["shop"],
      routes: [route({ prefix: "/browse/", service: "shop" })],
    }),
  );
  if (hasTrouble) {
    for (const { instance } of machines) {
      // A copy of the entry under another id, for a service that no configuration names.
      const copy = instance.entry("draining");
      copy.info.service = "shop-trial";
      store.put(`servers/trial-${instance.id}`, copy);
    }
    record("another writer's entries are there: service shop-trial, draining");
  }
  for (const machine of machines) machine.start();
  await sleep(1_000);
  for (const { instance } of machines) {
    store.put(`servers/${instance.id}`, instance.entry());
  }
  record("the instances have registered themselves: service shop, ready");
  for (const machine of machines) await machine.whenReady();
  await sleep(2_000);
  const before = await measure("before the final fault", MEASURED_MS);
  if (before < 0.25) throw new CannotRun("too little is served before");
  if (hasTrouble) {
    store.put(
      "op/config",
      configuration(9, {
        services: ["shop"],
        routes: [
          route({ prefix: "/browse/", service: "shop" }),
          route({ prefix: "/more/", service: "shop" }),
        ],
      }),
    );
    for (const machine of machines) machine.child.kill("SIGKILL");
    await Promise.all(machines.map((machine) => machine.ended));
    record("final fault: r9 is acknowledged, all processes are killed");
    await sleep(700);
    for (const machine of machines) machine.start();
    for (const machine of machines) await machine.whenReady();
    record("the machines are back, all processes are ready");
  }
  await measure("up to recover_s", RECOVER_MS);
  const after = await measure("later than recover_s", MEASURED_MS);
  for (const { instance } of machines) {
    record(`${instance.id} ran ${instance.runs.length} requests in all`);
  }
  const isBroken = after < 0.25;
  record(
    `RECOVER ${isBroken ? "broken" : "held"}: ` +
      `${(100 * after).toFixed(1)} % served, ${
        (100 * before).toFixed(1)
      } % before`,
  );
  return isBroken ? 1 : 0;
}

let exitCode = 2;
try {
  exitCode = await run();
} catch (error) {
  record(`the case could not run: ${error.stack ?? error}`);
} finally {
  await Promise.all(machines.map((machine) => machine.close()));
  for (const { instance } of machines) instance.close();
  store.close();
}
writeFileSync(
  new URL("record.txt", import.meta.url),
  `TROUBLE=${hasTrouble ? 1 : 0}\n${lines.join("\n")}\n`,
);
process.exit(exitCode);
