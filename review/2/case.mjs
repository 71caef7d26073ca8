// As in case 1, a zone takes no new version any more. A version adds an unsafe route below a safe one. When an instance
// loses answers, the daemons of the zone send the unsafe requests once more, as if they were safe.
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
/** Clients of one machine; a zone of the site has 30 for its four machines. */
const CLIENTS = 4;
const HOST = "hulo84.example";
const SERVICES = ["svc-old", "svc-new"];
/** `answer_lost` of day trouble-1 of thistledown-mesh. */
const LOST_SHARE = 0.4;
const LOSING_INSTANCES = 0.6;
const LOSING_MS = 4_000;

await runCase(import.meta.dirname, async ({ recorder, sidecars, closers }) => {
  const count = MACHINES_A + 2 * MACHINES_OTHER;
  const { net, ports } = await findBlock(count);
  const store = new Store();
  await store.start(`${net}.200`);
  closers.push(() => store.close());
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
  const route = (name, prefix, route_type) => ({
    name,
    host: HOST,
    prefix,
    route_type,
    timeout_s: 2,
    target_latency_s: 0.6,
    priority: 1,
    max_attempts: 2,
    service: "svc-old",
  });
  const safe = route("r-safe", "/leny950/", "safe");
  const unsafe = route("r-unsafe", "/leny950/pay/", "unsafe");
  store.put("op/config", configuration(1, [safe], SERVICES));
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

  const answers = [];
  let isOver = false;
  let isPaying = false;
  async function client(sidecar) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver && sidecars.includes(sidecar)) {
      const isUnsafe = isPaying;
      const answer = await send(sidecar, {
        agent,
        host: HOST,
        path: isUnsafe ? "/leny950/pay/2f" : "/leny950/2f",
        method: isUnsafe ? "POST" : "GET",
        body: isUnsafe ? "b".repeat(1_200) : undefined,
        deadlineMs: 4_000,
        recorder,
      });
      answers.push({ ...answer, isUnsafe, sidecar });
      await sleep(isUnsafe ? 40 : 150);
    }
    agent.destroy();
  }
  const clients = sidecars.flatMap((sidecar) =>
    Array.from({ length: CLIENTS }, () => client(sidecar))
  );
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
    for (let i = 0; i < CLIENTS; i += 1) clients.push(client(next));
    await sleep(LAPSE_MS - REUSE_MS);
    store.remove(`servers/${former.id}`);
    recorder.say(`the entry of the lost instance is removed`);
  }
  await sleep(12_000);

  recorder.say("version r2 adds the unsafe route /leny950/pay/");
  store.put("op/config", configuration(2, [safe, unsafe], SERVICES));
  await sleep(APPLY_MS + 1_000);
  recorder.say("clients send unsafe requests");
  isPaying = true;
  const old = instances.filter(({ service }) => service === "svc-old");
  if (TROUBLE) {
    const losing = old.slice(0, Math.floor(LOSING_INSTANCES * old.length));
    recorder.say(
      `${losing.length} of ${old.length} instances of svc-old lose ${LOST_SHARE} of their answers`,
    );
    for (const instance of losing) instance.lostShare = LOST_SHARE;
    await sleep(LOSING_MS);
    for (const instance of losing) instance.lostShare = 0;
  } else {
    await sleep(LOSING_MS);
  }
  await sleep(1_000);
  isOver = true;
  await Promise.all(clients);

  const runs = new Map();
  for (const instance of instances) {
    for (const { attempt, method } of instance.runs) {
      if (method !== "POST") continue;
      runs.set(attempt, [...runs.get(attempt) ?? [], instance.id]);
    }
  }
  const twice = [...runs].filter(([, ids]) => ids.length > 1);
  for (const [attempt, ids] of twice) {
    recorder.line(`unsafe ${attempt} ran at ${ids.join(" and ")}`);
  }
  const sent = answers.filter(({ isUnsafe }) => isUnsafe).length;
  recorder.say(`${sent} unsafe requests, ${twice.length} of them ran twice`);
  return twice.length > 0;
});
