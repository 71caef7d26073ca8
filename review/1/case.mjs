// The machine with a wide link from which its zone gets all changes is lost for good; its address goes to a machine with
// a narrow link. From then on two daemons of the zone follow each other, and no daemon of the zone reads the store.
import { createHash } from "node:crypto";
import { Agent } from "node:http";
import {
  configuration,
  findBlock,
  Instance,
  runCase,
  send,
  Sidecar,
  sleep,
  Store,
  TROUBLE,
} from "../harness.mjs";

/** Machines of zone z-a; z-b and z-c have three each. */
const MACHINES_A = 6;
const MACHINES_OTHER = 3;
/** Links as in grown/thistledown-mesh-grown.toml. */
const WIDE_MBPS = 100;
const NARROW_MBPS = 5;
/** `reuse_after_s` is 2; the entry of a lost instance goes after three heartbeats of 1.5 s. */
const REUSE_MS = 2_500;
const LAPSE_MS = 4_500;
/** `config_apply_s` is 2. */
const APPLY_MS = 2_000;
const HOST = "hulo84.example";
const SERVICES = ["svc-old", "svc-new"];

await runCase(import.meta.dirname, async ({ recorder, sidecars, closers }) => {
  const count = MACHINES_A + 2 * MACHINES_OTHER;
  const { net, ports } = await findBlock(count);
  const store = new Store();
  await store.start(`${net}.200`);
  closers.push(() => store.close());
  const watchesBy = new Map();
  store.onWatch = (from) => {
    watchesBy.set(from, (watchesBy.get(from) ?? 0) + 1);
  };
  // The order that the daemons of a zone compute from their addresses (packages/membership/src/rendezvous.ts) only
  // decides here which machines get the wide links: the fourth and the fifth of it.
  const score = (address) =>
    createHash("sha256").update(`z-a\n${address}`).digest("hex");
  const ordered = Array.from(
    { length: MACHINES_A },
    (_, i) => `${net}.${i + 1}`,
  )
    .sort((a, b) => score(a) < score(b) ? -1 : 1);
  const [lostAddress, otherWide] = [ordered[3], ordered[4]];

  const instances = [];
  let born = Date.now();
  async function startInstance(address, zone, service) {
    const instance = new Instance({
      id: `i-${instances.length + 1}-${service}`,
      service,
      address,
      port: ports.app,
      recorder,
    });
    instance.zone = zone;
    instance.workMs = 60;
    await instance.start();
    closers.push(() => instance.close());
    instances.push(instance);
    born += 1;
    store.put(`servers/${instance.id}`, instance.entry({ zone, born }));
    return instance;
  }
  function startSidecar(address, zone, service, linkMbps) {
    const sidecar = new Sidecar({
      name: `sidecar-${zone}-${address.split(".").at(-1)}`,
      ip: address,
      zone,
      service,
      ports,
      store: store.address,
      linkMbps,
    });
    sidecars.push(sidecar);
    sidecar.start();
    return sidecar;
  }
  const route = (service) => ({
    name: "r-moved",
    host: HOST,
    prefix: "/leny950/",
    route_type: "safe",
    timeout_s: 2,
    target_latency_s: 0.6,
    priority: 1,
    max_attempts: 2,
    service,
  });
  store.put("op/config", configuration(1, [route("svc-old")], SERVICES));
  const machines = [];
  for (let i = 1; i <= count; i += 1) {
    const address = `${net}.${i}`;
    const zone = i <= MACHINES_A
      ? "z-a"
      : i <= MACHINES_A + MACHINES_OTHER
      ? "z-b"
      : "z-c";
    const service = address === lostAddress ? "svc-old" : SERVICES[i % 2];
    const isWide = address === lostAddress || address === otherWide;
    machines.push({ address, zone, service, isWide });
  }
  for (const { address, zone, service } of machines) {
    await startInstance(address, zone, service);
  }
  for (const { address, zone, service, isWide } of machines) {
    startSidecar(address, zone, service, isWide ? WIDE_MBPS : NARROW_MBPS);
  }
  for (const sidecar of sidecars) await sidecar.whenReady();
  const lost = sidecars.find(({ ip }) => ip === lostAddress);
  recorder.say(
    `wide links: ${lost.name} (to be lost) and ${
      sidecars.find(({ ip }) => ip === otherWide).name
    }`,
  );

  const runBy = (id) =>
    instances.find(({ runs }) => runs.some(({ attempt }) => attempt === id));
  const answers = [];
  let isOver = false;
  async function client(sidecar) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver && sidecars.includes(sidecar)) {
      const sentMs = performance.now();
      const answer = await send(sidecar, {
        agent,
        host: HOST,
        path: "/leny950/2f",
        deadlineMs: 4_000,
        recorder,
      });
      answers.push({ ...answer, sentMs, sidecar });
      await sleep(150);
    }
    agent.destroy();
  }
  const clients = sidecars.map((sidecar) => client(sidecar));
  // All daemons know the links of their zone by then.
  await sleep(12_000);

  if (TROUBLE) {
    recorder.say(`${lost.name} and its instance are lost for good`);
    sidecars.splice(sidecars.indexOf(lost), 1);
    const former = instances.find(({ address }) => address === lostAddress);
    lost.signal("SIGKILL");
    former.close();
    await lost.stop();
    await sleep(REUSE_MS);
    recorder.say(
      `its address goes to a machine with ${NARROW_MBPS} Mbit/s and an instance of svc-new`,
    );
    await startInstance(lostAddress, "z-a", "svc-new");
    const next = startSidecar(lostAddress, "z-a", "svc-new", NARROW_MBPS);
    await next.whenReady();
    clients.push(client(next));
    await sleep(LAPSE_MS - REUSE_MS);
    store.remove(`servers/${former.id}`);
    recorder.say(`the entry of the lost instance is removed`);
  }
  await sleep(12_000);

  recorder.say("version r2 moves the route from svc-old to svc-new");
  store.put("op/config", configuration(2, [route("svc-new")], SERVICES));
  const changedMs = performance.now();
  watchesBy.clear();
  await sleep(20_000);
  isOver = true;
  await Promise.all(clients);

  const stale = answers.filter(({ id, sentMs }) =>
    sentMs > changedMs + APPLY_MS && runBy(id)?.service === "svc-old"
  );
  for (const { id, sidecar } of stale) {
    recorder.line(`${id}, sent to ${sidecar.name}, was run by svc-old`);
  }
  for (const sidecar of sidecars) {
    const own = answers.filter((answer) =>
      answer.sidecar === sidecar && answer.sentMs > changedMs + APPLY_MS
    );
    const old = stale.filter((answer) => answer.sidecar === sidecar);
    recorder.say(
      `${sidecar.name}: ${
        watchesBy.get(sidecar.ip) ?? 0
      } watches since r2; ${old.length} of ${own.length} requests sent 2 s to 20 s after r2 ran at svc-old`,
    );
  }
  return stale.length > 0;
});
