import { writeFileSync } from "node:fs";
import {
  call,
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

/** Fields of a request beside those that each request has. */
const FIELDS = hasTrouble ? 1_100 : 100;
/** `max_header_bytes` of the configuration. */
const MAX_HEADER_BYTES = 16_384;
const REQUESTS = 20;

const at = network();
const store = new Store();
const machines = [];

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
    const machine = new Machine({
      node: `sidecar-zone-${i}-1`,
      zone: `zone-${i}`,
      address: at(i),
      instance,
      store,
      ports,
    });
    machines.push(machine);
    store.put(`servers/${instance.id}`, instance.entry());
  }
  const prefix = "/order/";
  store.put(
    "op/config",
    configuration(7, {
      services: ["shop"],
      routes: [route({ prefix, service: "shop", route_type: "unsafe" })],
      limits: { max_header_bytes: MAX_HEADER_BYTES },
    }),
  );
  for (const machine of machines) machine.start();
  for (const machine of machines) await machine.whenReady();
  await sleep(2_000);

  const fields = Object.fromEntries(
    Array.from({ length: FIELDS }, (_, i) => [`x${i.toString(36)}`, "1"]),
  );
  const headBytes = Object.entries(fields).reduce(
    (sum, [name, value]) => sum + name.length + value.length + 4,
    300,
  );
  record(`${FIELDS} fields in each head, under ${headBytes} bytes in all`);
  const sent = new Map();
  for (let i = 0; i < REQUESTS; i += 1) {
    const body = Buffer.from(`order ${i} `.repeat(20));
    const isChunked = i % 2 === 1;
    const result = await call(machines[i % machines.length], {
      method: "POST",
      path: `${prefix}${i}`,
      body,
      isChunked,
      fields,
    });
    sent.set(result.id, { ...result, sentBody: body.toString(), isChunked });
  }
  let changed = 0;
  let ran = 0;
  for (const { instance } of machines) {
    for (const { id, path, body } of instance.runs) {
      const { sentBody, isChunked, status, error } = sent.get(id);
      ran += 1;
      if (body !== sentBody) changed += 1;
      record(
        `${id} POST ${path}: sent ${sentBody.length} bytes of body ` +
          `${isChunked ? "in chunks" : "with a length"}, ` +
          `${instance.id} ran it with ${body.length} bytes, ` +
          `the client got ${status ?? error}`,
      );
    }
  }
  if (ran < REQUESTS / 2) {
    record(`only ${ran} of ${REQUESTS} requests ran`);
    return 2;
  }
  record(
    `UNASKED ${changed > 0 ? "broken" : "held"}: ${changed} of ${ran} runs ` +
      "with another body than was sent",
  );
  return changed > 0 ? 1 : 0;
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
