import { createHmac } from "node:crypto";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import {
  ANSWER,
  type RawResponse,
  sendRaw,
  startMesh,
  startScriptedServer,
  tableOf,
} from "./mesh_fixture.ts";
import type { StartProxyOptions } from "./proxy.ts";

const UPSTREAM_ADDRESS = "127.22.2.1";

const upstream = await startScriptedServer(
  UPSTREAM_ADDRESS,
  (socket, head) =>
    socket.write(
      head.startsWith("GET /health ")
        ? health
        : head.includes("/leak")
        ? ANSWER.replace(
          "tanagercove-outcome: answered",
          "tanagercove-reason: cut\r\nconnection: x-hop\r\nx-hop: 1\r\nx-kept: 1",
        )
        : ANSWER,
    ),
);
let health = "";
setHealth("ready", 0.25);
t.teardown(() => upstream.close());

function setHealth(state: string, load: number): void {
  const body = JSON.stringify({ state, load });
  health = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function summary({ status, outcome, reason }: RawResponse): string {
  return `${status} ${outcome} ${reason}`;
}

function call(
  mesh: { readonly host: string; readonly port: number },
  fields: Readonly<Record<string, string>>,
  path = "/",
): Promise<RawResponse> {
  const all = { host: "x", "tanagercove-service": "swatches", ...fields };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return sendRaw(
    mesh,
    `POST ${path} HTTP/1.1\r\nconnection: close\r\n${
      lines.join("\r\n")
    }\r\n\r\n`,
  );
}

function startWith(proxy: Partial<StartProxyOptions>) {
  return startMesh({ net: "22.2", upstreamPorts: [upstream.port], proxy });
}

// A request that the lists or the checks refuse must not reach an upstream.
t.test("should refuse requests with the expected reason and forward nothing", async (t) => {
  const mesh = await startWith({});
  const before = upstream.requestIds.length;
  const cases: readonly (readonly [Record<string, string>, string])[] = [
    [{}, "401 not_run customer_missing"],
    [{ customer: "nobody" }, "403 not_run customer_unknown"],
    [{ customer: "lagos" }, "403 not_run plan_without_allowance"],
    [
      { customer: "perth", service: "ledger" },
      "403 not_run service_not_allowed",
    ],
    [{ customer: "perth", service: "none" }, "404 not_run service_unknown"],
    [{ customer: "perth", service: "venues" }, "503 not_run service_not_known"],
    [{ customer: "perth", service: "" }, "400 not_run bad_request"],
    [{ customer: "perth", depth: "16" }, "508 not_run too_deep"],
    [{ customer: "perth", depth: "-1" }, "400 not_run bad_request"],
    [{ customer: "perth", "deadline-ms": "1e3" }, "400 not_run bad_request"],
  ];
  for (const [fields, expected] of cases) {
    const named = Object.entries(fields).map(([name, value]) =>
      [`tanagercove-${name}`, value] as const
    );
    const response = await call(mesh, Object.fromEntries(named));
    t.equal(summary(response), expected);
    const body = JSON.parse(response.body) as Record<string, string>;
    t.equal(`${body.outcome} ${body.reason}`, expected.slice(4));
  }
  t.equal(upstream.requestIds.length, before);
  await mesh.close();
});

t.test("should refuse with the reason starting before the first version", async (t) => {
  const mesh = await startWith({ routingTable: () => undefined });
  const response = await call(mesh, { "tanagercove-customer": "perth" });
  t.equal(summary(response), "503 not_run starting");
  await mesh.close();
});

t.test("should accept customers only from trusted addresses", async (t) => {
  const mesh = await startWith({
    identity: {
      kind: "trusted",
      trustedCallers: [{ address: "10.0.0.0", prefixBits: 8 }],
    },
  });
  const response = await call(mesh, { "tanagercove-customer": "perth" });
  t.equal(summary(response), "401 not_run identity_refused");
  await mesh.close();
});

// A customer must not be able to act as another one.
t.test("should accept a signature of this customer only, and not after it expires", async (t) => {
  const mesh = await startWith({
    identity: {
      kind: "signed",
      customerKey: "k",
      nowUnixSeconds: () => 1_000,
    },
  });
  const sign = (customer: string, expires: string) => ({
    "tanagercove-customer": "perth",
    "tanagercove-expires": expires,
    "tanagercove-signature": createHmac("sha256", "k")
      .update(`${customer}\n${expires}`).digest("hex"),
  });
  const refused = "401 not_run identity_refused";
  const summaryOf = async (fields: Record<string, string>) =>
    summary(await call(mesh, fields));
  t.equal(await summaryOf(sign("perth", "1001")), "200 answered undefined");
  t.equal(await summaryOf(sign("lagos", "1001")), refused);
  t.equal(await summaryOf(sign("perth", "1000")), refused);
  t.equal(
    await summaryOf({
      ...sign("perth", "1001"),
      "tanagercove-expires": "1002",
    }),
    refused,
  );
  t.equal(
    await summaryOf({
      ...sign("perth", "1001"),
      "tanagercove-signature": "ab",
    }),
    refused,
  );
  t.equal(await summaryOf({ "tanagercove-customer": "perth" }), refused);
  await mesh.close();
});

// Forged `tanagercove-*` fields must have no effect; hop-by-hop fields belong to one connection only.
t.test("should ignore forged tanagercove fields and pass on neither them nor hop-by-hop fields", async (t) => {
  const mesh = await startWith({});
  const response = await call(mesh, {
    "tanagercove-customer": "perth",
    "tanagercove-request-id": "forged",
    "tanagercove-revision": "99",
    "tanagercove-secret": "1",
    "tanagercove-depth": "3",
    "tanagercove-deadline-ms": "700",
    connection: "close, x-private",
    "x-private": "1",
    te: "trailers",
    "x-app": "kept",
  }, "/leak?q=1");
  const head = upstream.heads.at(-1)!;
  t.match(head, /^POST \/leak\?q=1 HTTP\/1.1\r\n/);
  t.match(head, /x-app: kept/);
  t.match(head, /tanagercove-depth: 4\r\n/);
  const deadlineMs = Number(/deadline-ms: (\d+)/.exec(head)?.[1]);
  t.ok(deadlineMs > 0 && deadlineMs < 700, `deadline ${deadlineMs}`);
  t.notMatch(head, /forged|secret|x-private|te: |revision|service/);
  t.equal(summary(response), "200 answered undefined");
  t.match(response.text, /x-kept: 1/);
  t.notMatch(response.text, /x-hop|upstream-us|tanagercove-load/);
  await mesh.close();
});

// A caller must not bypass the checks by using the path prefix of forwarded requests.
t.test("should not treat a request at the caller port as a forwarded one", async (t) => {
  const mesh = await startWith({});
  const fields = {
    "tanagercove-customer": "nobody",
    "tanagercove-request-id": "1",
    "tanagercove-revision": "99",
  };
  const owner = { host: mesh.vms[0]!.address, port: mesh.vms[0]!.callerPort };
  const response = await call(owner, fields, "/forward/v");
  t.equal(summary(response), "403 not_run customer_unknown");
  await mesh.close();
});

t.test("should check the lists again on the owner daemon unless its version is older than the caller's daemon's", async (t) => {
  let revision = 1;
  const emptyTable = () => ({
    ...tableOf([], revision),
    lists: { planByCustomer: new Map(), servicesByPlan: new Map() },
  });
  const mesh = await startMesh({
    net: "22.2",
    upstreamPorts: [upstream.port],
    proxy: { routingTable: () => ({ ...tableOf(mesh.vms, 5) }) },
    owner: { routingTable: emptyTable },
  });
  const fields = { "tanagercove-customer": "perth" };
  for (
    const [ownRevision, expected] of [
      [4, "200 answered undefined"],
      [5, "403 not_run customer_unknown"],
      [6, "403 not_run customer_unknown"],
    ] as const
  ) {
    revision = ownRevision;
    t.equal(
      summary(await call(mesh, fields)),
      expected,
      `revision ${ownRevision}`,
    );
  }
  await mesh.close();
});

t.test("should refuse forwarded work for a service other than its own", async (t) => {
  const mesh = await startMesh({
    net: "22.2",
    upstreamPorts: [upstream.port],
    owner: { service: "venues" },
  });
  const response = await call(mesh, { "tanagercove-customer": "perth" });
  t.equal(summary(response), "503 not_run no_upstream");
  await mesh.close();
});

t.test("should refuse forwarded work while leaving or draining, and serve despite failed health probes", async (t) => {
  const loads: number[] = [];
  const draining: boolean[] = [];
  let listed = false;
  const mesh = await startMesh({
    net: "22.2",
    upstreamPorts: [upstream.port],
    proxy: {
      healthIntervalMs: 10,
      isLeaving: () => listed,
      onUpstreamDraining: (drains) => draining.push(drains),
      balancing: {
        observations: {
          begin() {},
          end() {},
          reportLoad: (_id, load) => loads.push(load),
        },
        choose: ({ candidates }) => candidates[0],
      },
    },
  });
  const callSummary = async () =>
    summary(await call(mesh, { "tanagercove-customer": "perth" }));
  const owner = mesh.owners[0]!;
  await waitFor(() => owner.state().upstream);
  t.equal(await callSummary(), "200 answered undefined");
  t.same(loads, [0.25]);
  setHealth("draining", 1);
  await waitFor(() => draining.length === 1);
  t.equal(await callSummary(), "503 not_run leaving");
  setHealth("ready", 0);
  await waitFor(() => draining.length === 2);
  health = "HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n";
  await waitFor(() => owner.state().upstreamHealthFailures > 2);
  t.equal(await callSummary(), "200 answered undefined");
  setHealth("ready", 0);
  listed = true;
  t.equal(await callSummary(), "503 not_run leaving");
  listed = false;
  t.equal(await callSummary(), "200 answered undefined");
  owner.setLeaving();
  t.equal(await callSummary(), "503 not_run leaving");
  await mesh.close();
});

t.test("should wait for whenFresh before it routes a request", async (t) => {
  let open = () => {};
  const gate = new Promise<void>((resolve) => open = resolve);
  let gated = false;
  const mesh = await startMesh({
    net: "22.2",
    upstreamPorts: [upstream.port],
    proxy: {
      whenFresh() {
        gated = true;
        return gate;
      },
    },
    owner: { whenFresh: () => undefined },
  });
  const before = upstream.requestIds.length;
  const pending = call(mesh, { "tanagercove-customer": "perth" });
  await waitFor(() => gated);
  t.equal(mesh.caller.state().callers.outcomes.answered, 0);
  t.equal(upstream.requestIds.length, before);
  open();
  t.equal(summary(await pending), "200 answered undefined");
  await mesh.close();
});
