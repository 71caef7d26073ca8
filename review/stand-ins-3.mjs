// Stand-ins of the store, the instances and the clients, and the start of the project's own program as a process. They
// keep to ../given/kit/more/system/PROTOCOL.md and DEPLOY.md, and need no build.
import { spawn } from "node:child_process";
import { createServer, request as createRequest } from "node:http";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

const ROOT = fileURLToPath(new URL("..", import.meta.url));

/** The arguments of `run` in deploy/system.toml. */
const RUN = [
  "--max-old-space-size=48",
  "--max-semi-space-size=1",
  "--single-threaded",
  "--optimize-for-size",
  "--no-memory-reducer",
  "target/sidecar.cjs",
];

/** A free port of an address. */
export function freePort(address) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once("error", reject);
    server.listen(0, address, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Loopback addresses of one run, so that runs beside each other share no port. */
export function network() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  const prefix = `127.${part()}.${part()}`;
  return (host) => `${prefix}.${host}`;
}

/** The platform's store: one value a key, a history and watches; its answers are linearizable. */
export class Store {
  #items = new Map();
  #history = [];
  #waiting = new Set();
  #revision = 100;

  async listen(address) {
    this.server = createServer((request, response) =>
      this.#handle(request, response)
    );
    await new Promise((done) => this.server.listen(0, address, done));
    this.address = `${address}:${this.server.address().port}`;
  }

  put(key, body) {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    const value = Buffer.from(text).toString("base64");
    const revision = ++this.#revision;
    const create_rev = this.#items.get(key)?.create_rev ?? revision;
    this.#write({ key, value, revision, create_rev, lease: 0 });
  }

  remove(key) {
    this.#items.delete(key);
    this.#write({ key, revision: ++this.#revision, tombstone: true });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #write(item) {
    if (!item.tombstone) this.#items.set(item.key, item);
    this.#history.push(item);
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const parameter = (name) => searchParams.get(name) ?? "";
    const prefix = parameter("prefix");
    const send = (status, body) =>
      response.writeHead(status, { "content-type": "application/json" })
        .end(body && JSON.stringify(body));
    if (pathname === "/-/kv-key") {
      const item = this.#items.get(parameter("key"));
      if (item === undefined) return send(404);
      return send(200, { ...item, current_rev: this.#revision });
    }
    if (pathname === "/-/kv-range") {
      const keys = [...this.#items.keys()].sort().filter((key) =>
        key.startsWith(prefix) && key > parameter("after")
      );
      return send(200, {
        items: keys.slice(0, 500).map((key) => this.#items.get(key)),
        more_pages: keys.length > 500,
        current_rev: this.#revision,
      });
    }
    if (pathname !== "/-/kv-watch") return send(404);
    const after = Number(parameter("after"));
    const events = () =>
      this.#history.filter((item) =>
        item.revision > after && item.key.startsWith(prefix)
      );
    if (events().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (events().length > 0) end();
        };
        const end = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(end, Number(parameter("wait_ms")));
        this.#waiting.add(wake);
      });
    }
    send(200, { events: events(), current_rev: this.#revision });
  }
}

/** An instance that runs each request for `workMs` and answers it whole. */
export class Instance {
  runs = [];

  constructor({ id, service, address, zone, slots = 9, workMs = 60 }) {
    Object.assign(this, { id, service, address, zone, slots, workMs });
    this.born = Date.now();
  }

  async listen() {
    this.server = createServer(
      { maxHeaderSize: 64 * 1024 },
      (request, response) => this.#handle(request, response),
    );
    this.server.maxHeadersCount = 0;
    this.server.keepAliveTimeout = 10_000;
    await new Promise((done) => this.server.listen(0, this.address, done));
    this.port = this.server.address().port;
  }

  /** The entry under `servers/ID`. */
  entry(state = "ready") {
    return {
      address: `${this.address}:${this.port}`,
      info: {
        service: this.service,
        version: "v1",
        zone: this.zone,
        slots: this.slots,
      },
      status: { state, seq: 1, cold_remaining_s: 0 },
      born: this.born,
    };
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #handle(request, response) {
    let body = "";
    request.setEncoding("latin1");
    request.on("data", (text) => {
      // Large bodies are read and not kept.
      if (body.length < 1_000_000) body += text;
    });
    request.on("end", () => this.#answer(request, response, body));
    request.on("error", () => {});
  }

  #answer(request, response, body) {
    const { headers, method, url: path } = request;
    if (request.url === "/health") {
      return response.writeHead(200, { "Instance-Id": this.id }).end();
    }
    const id = headers["attempt-id"];
    const target = headers["target-instance"];
    if (target !== undefined && target !== this.id) {
      return response.writeHead(421, {
        "Attempt-Id": id,
        "Instance-Id": this.id,
      }).end();
    }
    const run = { id, at: now(), method, path, body, brokenOffAt: undefined };
    this.runs.push(run);
    response.on("close", () => {
      if (!response.writableFinished) run.brokenOffAt = now();
    });
    setTimeout(() => {
      response.writeHead(200, {
        "Attempt-Id": id,
        "Response-Signature": `s.${id}`,
      }).end(`${this.id} ran ${id}`);
    }, this.workMs);
  }
}

/** A configuration in the form that deploy/wire.toml selects. */
export function configuration(version, { services, routes, limits }) {
  const columns = [
    "name",
    "host",
    "prefix",
    "route_type",
    "timeout_s",
    "target_latency_s",
    "priority",
    "weighted_backends",
    "max_attempts",
    "service",
  ];
  return {
    version: `r${version}`,
    routes: {
      columns,
      rows: routes.map((route) => columns.map((name) => route[name] ?? null)),
    },
    services: {
      columns: ["name", "health_path", "max_connections", "protocol", "tls"],
      rows: services.map((name) => [name, "/health", 110, "h1", false]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
      ...limits,
    },
  };
}

/** A route of a small deployment. */
export const route = (fields) => ({
  name: `r-${fields.prefix.slice(1, -1)}`,
  host: "shop.example",
  route_type: "safe",
  timeout_s: 2,
  target_latency_s: 0.6,
  priority: 1,
  max_attempts: 2,
  ...fields,
});

/** The machine of one instance with the sidecar as a process. */
export class Machine {
  #folder = mkdtempSync(join(tmpdir(), "tanagercove-review-"));
  exits = [];

  constructor({ node, zone, address, instance, store, ports }) {
    Object.assign(this, { node, zone, address, instance, store, ports });
  }

  get settings() {
    const { address, ports, instance } = this;
    return [
      `self.node=${this.node}`,
      "self.role=sidecar",
      "self.machine_class=sidecar",
      "self.serves=sidecar,control",
      `self.ip=${address}`,
      `self.zone=${this.zone}`,
      "self.region=lowlands",
      "self.bootstrap=true",
      "self.limits.cpu_share=0.54",
      "self.limits.cpu_cores=1",
      "self.limits.memory_mb=350",
      "self.limits.max_fds=4100",
      "self.limits.link_mbps=1000.0",
      "self.limits.disk_mb=0",
      `self.app_addr=${address}:${instance.port}`,
      `self.service=${instance.service}`,
      `network.listen.inbound=${address}:${ports.inbound}`,
      `network.listen.outbound=${address}:${ports.outbound}`,
      `network.listen.ready=${address}:${ports.ready}`,
      `network.listen.control=${address}:${ports.control}`,
      `network.internal_ports=${ports.internal},${ports.internal + 15}`,
      "network.seeds=",
      "provider.discovery=platform",
      "provider.heartbeat_s=1.5",
      `provider.provider.address=${this.store.address}`,
      "provider.provider.form=read",
      "provider.provider.reads_per_s=2000",
      "provider.provider.history_s=20",
      "terms.contracts=base,drain,config,cost,retry,recover,platform",
      "terms.bounds.reuse_after_s=2",
      "terms.bounds.stable_window_s=3",
      "terms.bounds.drain_s=2",
      "terms.bounds.grace_s=6",
      "terms.bounds.loss_slack_s=0.2",
      "terms.bounds.config_apply_s=2",
      "terms.bounds.rollback_slack_s=0.25",
      "terms.bounds.retry_budget_ratio=0.2",
      "terms.bounds.budget_window_s=10",
      "terms.bounds.budget_slack=56",
      "terms.bounds.recover_s=15",
    ].join("\n");
  }

  start() {
    const path = join(this.#folder, "boot.conf");
    writeFileSync(path, this.settings);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn("node", RUN, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, TANAGERCOVE_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.log = "";
    const keep = (bytes) => this.log = (this.log + bytes).slice(-200_000);
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    this.child = child;
    this.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.exits.push({ at: now(), code, signal });
        resolve();
      })
    );
  }

  /** Ends the process that this machine started. */
  async kill() {
    this.child?.kill("SIGKILL");
    await this.ended;
  }

  async close() {
    await this.kill();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  isReady() {
    return new Promise((resolve) =>
      createRequest({
        host: this.address,
        port: this.ports.ready,
        path: "/-/ready",
        agent: false,
        timeout: 1_000,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      }).on("error", () => resolve(false)).end()
    );
  }

  async whenReady(timeoutMs = 15_000) {
    const endAt = now() + timeoutMs;
    while (now() < endAt) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new CannotRun(`${this.node} is not ready after ${timeoutMs} ms`);
  }
}

/** The case could not be run. */
export class CannotRun extends Error {}

/** Ports that all machines of a run share. */
export async function choosePorts(address) {
  const ports = {};
  for (const name of ["inbound", "outbound", "ready", "control"]) {
    ports[name] = await freePort(address);
  }
  ports.internal = 20_000 + Math.floor(Math.random() * 8_000);
  return ports;
}

let attempts = 0;

/** Sends one request on a new connection, and tells how it ended for the client. */
export function call(
  machine,
  {
    method = "GET",
    path,
    deadlineMs = 3_000,
    body,
    isChunked = false,
    fields = {},
    id,
    agent = false,
  },
) {
  const attemptId = id ?? `a${process.pid.toString(16)}x${attempts += 1}`;
  const sentAt = now();
  return new Promise((resolve) => {
    let isDone = false;
    const end = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({
        id: attemptId,
        method,
        path,
        sentAt,
        endedAt: now(),
        ...result,
      });
    };
    const request = createRequest({
      host: machine.address,
      port: machine.ports.outbound,
      method,
      path,
      agent,
      headers: {
        host: "shop.example",
        "attempt-id": attemptId,
        "deadline-ms": String(deadlineMs),
        ...fields,
        ...(isChunked && { "transfer-encoding": "chunked" }),
        ...(!isChunked && body !== undefined &&
          { "content-length": body.length }),
      },
    }, (response) => {
      let text = "";
      response.on("data", (bytes) => text += bytes.toString("latin1"));
      response.on("error", (error) => end({ error: error.code ?? "cut" }));
      response.on("end", () =>
        end({
          status: response.statusCode,
          headers: response.headers,
          body: text,
          isWhole: response.complete,
        }));
    });
    request.on("error", (error) => end({ error: error.code ?? error.message }));
    const timer = setTimeout(() => {
      end({ error: "deadline" });
      request.destroy();
    }, deadlineMs);
    request.end(body);
  });
}
