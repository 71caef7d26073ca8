// Stand-ins of the platform (store, instances, clients) for the cases of this review, written from PROTOCOL.md and
// DEPLOY.md, and the start of real sidecars with the command of deploy/system.toml. Plain JavaScript: nothing to build.
import { spawn } from "node:child_process";
import { createServer, request as httpRequest } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");
export const TROUBLE = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((r) => setTimeout(r, ms));

/** Writes what happens to record.txt of a case. */
export class Recorder {
  #path;
  #startMs = performance.now();
  #lines = [];
  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }
  line(text) {
    const seconds = ((performance.now() - this.#startMs) / 1000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${text}\n`);
    if (this.#lines.length > 200) this.flush();
  }
  say(text) {
    this.line(text);
    console.log(text);
  }
  flush() {
    appendFileSync(this.#path, this.#lines.splice(0).join(""));
  }
}

function listen(server, address, port) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => resolve(server.address().port));
  });
}

/** A block 127.A.B.0/24 and ports that are free on its first addresses. */
export async function findBlock(count) {
  for (let tries = 0; tries < 50; tries += 1) {
    const net = `127.${60 + Math.floor(Math.random() * 150)}.${
      Math.floor(Math.random() * 250)
    }`;
    const base = 20_000 + Math.floor(Math.random() * 6_000);
    const ports = {
      app: base,
      inbound: base + 1,
      outbound: base + 2,
      ready: base + 3,
      control: base + 4,
      internal: base + 10,
    };
    const probes = [];
    try {
      for (let i = 1; i <= count; i += 1) {
        for (const port of [...Object.values(ports), 9464]) {
          const server = createTcpServer();
          await listen(server, `${net}.${i}`, port);
          probes.push(server);
        }
      }
      return { net, ports };
    } catch {
      // Something listens there; another block is tried.
    } finally {
      for (const server of probes) await new Promise((r) => server.close(r));
    }
  }
  throw new Error("no free block of loopback addresses");
}

/** The platform's store, as PROTOCOL.md describes it: every write is an event of its own. */
export class Store {
  #revision = 100;
  #items = new Map();
  #history = [];
  #waiting = new Set();
  #server;
  /** Decides by the caller's address whether the store turns it away: undefined, "busy", "reset" or "silent". */
  turnsAway = () => undefined;
  onWatch = () => {};

  async start(address) {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.port = await listen(this.#server, address, 0);
    this.address = `${address}:${this.port}`;
  }
  put(key, body) {
    const value = Buffer.from(
      typeof body === "string" ? body : JSON.stringify(body),
    ).toString("base64");
    this.#write({ key, value, revision: ++this.#revision, lease: 0 });
  }
  remove(key) {
    this.#write({ key, revision: ++this.#revision, tombstone: true });
  }
  #write(item) {
    const former = this.#items.get(item.key);
    if (item.tombstone) this.#items.delete(item.key);
    else {
      item.create_rev = former?.create_rev ?? item.revision;
      this.#items.set(item.key, item);
    }
    this.#history.push({ ...item, atMs: performance.now() });
    for (const wake of [...this.#waiting]) wake();
  }
  async #handle(request, response) {
    const from = request.socket.remoteAddress;
    const away = this.turnsAway(from);
    if (away === "silent") return;
    if (away === "reset") return request.socket.resetAndDestroy();
    if (away === "busy") return void response.writeHead(503).end();
    const url = new URL(request.url, "http://store");
    const answer = await this.#answer(url, from);
    // Turned away meanwhile: a watch that is waiting may be cut.
    if (this.turnsAway(from) !== undefined) return void response.destroy();
    const body = Buffer.from(JSON.stringify(answer.body ?? {}));
    if (url.pathname === "/-/kv-watch") this.onWatch(from, answer, body.length);
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": body.length,
    }).end(body);
  }
  async #answer(url, from) {
    const query = (name) => url.searchParams.get(name) ?? "";
    if (url.pathname === "/-/kv-key") {
      const item = this.#items.get(query("key"));
      if (item === undefined) return { status: 404 };
      return { status: 200, body: { ...item, current_rev: this.#revision } };
    }
    const prefix = query("prefix");
    if (url.pathname === "/-/kv-range") {
      const keys = [...this.#items.keys()].sort()
        .filter((key) => key.startsWith(prefix) && key > query("after"));
      return {
        status: 200,
        body: {
          items: keys.slice(0, 500).map((key) => this.#items.get(key)),
          more_pages: keys.length > 500,
          current_rev: this.#revision,
        },
      };
    }
    if (url.pathname !== "/-/kv-watch") return { status: 404 };
    const after = Number(query("after"));
    const events = () =>
      this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    if (events().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query("wait_ms")));
        this.#waiting.add(wake);
      });
      // A machine that is turned away meanwhile gets no answer.
      if (this.turnsAway(from) !== undefined) return { status: 503 };
    }
    const found = events().map(({ atMs: _, ...item }) => item);
    return {
      status: 200,
      body: { events: found, current_rev: this.#revision },
    };
  }
  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}

/** An instance as PROTOCOL.md describes it; `runs` holds the id of each request that it began to work on. */
export class Instance {
  runs = [];
  arrivals = [];
  workMs = 150;
  /** Share of the requests that it runs whose answers are lost: the connection is reset in place of the answer. */
  lostShare = 0;
  slots;
  running = 0;
  #server;
  constructor({ id, service, address, port, slots = 9, recorder }) {
    Object.assign(this, { id, service, address, port, slots, recorder });
  }
  async start() {
    this.#server = createServer((request, response) => {
      const chunks = [];
      request.on("error", () => {});
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => this.#run(request, response, chunks));
    });
    this.#server.keepAliveTimeout = 10_000;
    await listen(this.#server, this.address, this.port);
  }
  #run(request, response, chunks) {
    const load = `${this.running},0,${this.slots}`;
    if (request.url === "/health") {
      response.writeHead(200, {
        "instance-id": this.id,
        "server-load": load,
        "content-length": 0,
      }).end();
      return;
    }
    const attempt = request.headers["attempt-id"];
    if (attempt === undefined) {
      response.writeHead(400, { "not-executed": "1", "content-length": 0 })
        .end();
      return;
    }
    const target = request.headers["target-instance"];
    if (target !== undefined && target !== this.id) {
      this.recorder?.line(`${this.id} answers ${attempt} with 421`);
      response.writeHead(421, {
        "attempt-id": attempt,
        "instance-id": this.id,
        "not-executed": "1",
        "content-length": 0,
      }).end();
      return;
    }
    const bodyBytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    this.runs.push({ attempt, method: request.method, bodyBytes });
    this.recorder?.line(`${this.id} runs ${attempt}`);
    this.running += 1;
    let isOver = false;
    const timer = setTimeout(() => {
      this.running -= 1;
      if (Math.random() < this.lostShare) {
        this.recorder?.line(`${this.id} ran ${attempt}, its answer is lost`);
        isOver = true;
        request.socket.resetAndDestroy();
        return;
      }
      const body = `${this.id} ${attempt}`;
      response.writeHead(200, {
        "attempt-id": attempt,
        "response-signature": `sig-${attempt}`,
        "server-load": load,
        "content-length": body.length,
      }).end(body);
    }, this.workMs);
    response.on("close", () => {
      if (response.writableFinished || isOver) return;
      clearTimeout(timer);
      this.running -= 1;
    });
  }
  entry({ state = "ready", seq = 1, zone = "z-a", born } = {}) {
    return {
      address: `${this.address}:${this.port}`,
      info: { service: this.service, version: "v1", zone, slots: this.slots },
      status: { state, seq, cold_remaining_s: 0 },
      born,
    };
  }
  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}

const ROUTE_COLUMNS = [
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

/** A version of the configuration in the form of `fleetbench wire`; routes are objects with these columns. */
export function configuration(version, routes, services, limits = {}) {
  return {
    version: `r${version}`,
    routes: {
      columns: ROUTE_COLUMNS,
      rows: routes.map((route) => ROUTE_COLUMNS.map((c) => route[c] ?? null)),
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

/** The command of the deploy file's role, split at spaces. */
function command() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A sidecar as a process of its own, with settings like those of a small deployment. */
export class Sidecar {
  exits = [];
  output = "";
  #child;
  constructor(
    { name, ip, zone, service, ports, store, memoryMb = 350, linkMbps = 1_000 },
  ) {
    Object.assign(this, {
      name,
      ip,
      zone,
      service,
      ports,
      store,
      memoryMb,
      linkMbps,
    });
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.settings = join(this.folder, "boot.conf");
    this.writeSettings();
  }
  writeSettings() {
    const { ip, ports } = this;
    writeFileSync(
      this.settings,
      [
        `self.node=${this.name}`,
        "self.role=sidecar",
        "self.machine_class=sidecar",
        "self.serves=sidecar,control",
        `self.ip=${ip}`,
        `self.zone=${this.zone}`,
        "self.region=r",
        "self.bootstrap=true",
        "self.limits.cpu_share=0.54",
        "self.limits.cpu_cores=1",
        `self.limits.memory_mb=${this.memoryMb}`,
        "self.limits.max_fds=4100",
        `self.limits.link_mbps=${this.linkMbps.toFixed(1)}`,
        "self.limits.disk_mb=0",
        `self.app_addr=${ip}:${ports.app}`,
        `self.service=${this.service}`,
        `network.listen.inbound=${ip}:${ports.inbound}`,
        `network.listen.outbound=${ip}:${ports.outbound}`,
        `network.listen.ready=${ip}:${ports.ready}`,
        `network.listen.control=${ip}:${ports.control}`,
        `network.internal_ports=${ports.internal},${ports.internal + 15}`,
        "network.seeds=",
        "provider.heartbeat_s=1.5",
        `provider.provider.address=${this.store}`,
        "provider.provider.history_s=20",
        "provider.provider.value_bytes=1048576",
        "terms.bounds.drain_s=2",
        "terms.bounds.grace_s=6",
        "terms.bounds.loss_slack_s=0.2",
        "terms.bounds.config_apply_s=2",
        "terms.bounds.retry_budget_ratio=0.2",
        "terms.bounds.budget_window_s=10",
        "terms.bounds.budget_slack=56",
        "",
      ].join("\n"),
    );
  }
  start() {
    const [program, ...args] = command();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C",
        TANAGERCOVE_BOOT: this.settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    const keep = (chunk) => {
      this.output = (this.output + chunk).slice(-4_000_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    this.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.exits.push({ code, signal, atMs: performance.now() });
        resolve({ code, signal });
      })
    );
    return child;
  }
  get pid() {
    return this.#child.pid;
  }
  get isRunning() {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }
  signal(signal) {
    if (this.isRunning) this.#child.kill(signal);
  }
  rssMb() {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1_024;
    } catch {
      return 0;
    }
  }
  ready() {
    return new Promise((resolve) => {
      const request = httpRequest({
        host: this.ip,
        port: this.ports.ready,
        path: "/-/ready",
        timeout: 1_000,
        agent: false,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("error", () => resolve(false));
      request.on("timeout", () => request.destroy());
      request.end();
    });
  }
  async whenReady(timeoutMs = 10_000) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      if (await this.ready()) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready: ${this.output.slice(-2_000)}`);
  }
  async stop() {
    if (this.isRunning) {
      this.signal("SIGCONT");
      this.signal("SIGKILL");
      await this.ended;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

let nextId = 0;
const run = Math.random().toString(16).slice(2, 8);
export const newAttemptId = () =>
  `${run}${(nextId += 1).toString(16).padStart(10, "0")}`;

/** Sends one request; resolves with its status and body, or with the error of its connection. */
export function send(
  sidecar,
  {
    agent,
    host,
    path,
    method = "GET",
    body,
    deadlineMs = 4_000,
    id = newAttemptId(),
    recorder,
  },
) {
  return new Promise((resolve) => {
    recorder?.line(`${id} sent to ${sidecar.name}: ${method} ${path}`);
    let isSettled = false;
    const settle = (result) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      recorder?.line(`${id} answered: ${result.status ?? result.error}`);
      resolve({ id, ...result });
    };
    const request = httpRequest({
      host: sidecar.ip,
      port: sidecar.ports.outbound,
      method,
      path,
      agent,
      headers: {
        host,
        "attempt-id": id,
        "deadline-ms": String(deadlineMs),
        ...(body === undefined ? {} : { "content-length": body.length }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => settle({ error: error.code }));
      response.on("end", () =>
        settle({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }));
    });
    request.on("error", (error) => settle({ error: error.code }));
    const timer = setTimeout(() => {
      settle({ error: "deadline" });
      request.destroy();
    }, deadlineMs);
    request.end(body);
  });
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, play) {
  const recorder = new Recorder(folder);
  const sidecars = [];
  const closers = [];
  let code = 2;
  // Whatever ends this process, the sidecars end with it.
  process.on("exit", () => {
    for (const sidecar of sidecars) sidecar.signal("SIGKILL");
  });
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.on(signal, () => process.exit(2));
  }
  process.on("uncaughtException", (error) => {
    recorder.say(`could not run: ${error.stack}`);
    recorder.flush();
    process.exit(2);
  });
  const limit = setTimeout(() => {
    recorder.say("could not run: 115 s are over");
    recorder.flush();
    for (const sidecar of sidecars) sidecar.signal("SIGKILL");
    process.exit(2);
  }, 115_000);
  try {
    recorder.say(`TROUBLE=${TROUBLE ? 1 : 0}`);
    const isBroken = await play({ recorder, sidecars, closers });
    code = isBroken ? 1 : 0;
    recorder.say(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    recorder.say(`could not run: ${error.stack}`);
  } finally {
    clearTimeout(limit);
    for (const sidecar of sidecars) await sidecar.stop();
    for (const close of closers) close();
    recorder.flush();
  }
  process.exit(code);
}

export { connect };
