import { createServer, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { connect, type Server as TcpServer, type Socket } from "node:net";
import type { PeerTransport } from "@tanagercove/keys";
import { computeRoutingTable, type RoutingTable } from "@tanagercove/routing";
import type { Vm } from "@tanagercove/types";
import {
  PEER_SERVER_OPTIONS,
  type Proxy,
  startProxy,
  type StartProxyOptions,
} from "./proxy.ts";

/** How a scripted server responds to the head of a request. */
export type Script = (socket: Socket, head: string) => void;

/** A raw TCP server that records the requests whose head it read, except health probes. */
export interface ScriptedServer {
  readonly port: number;
  /** Request ids, in the order in which the heads were read. */
  readonly requestIds: readonly string[];
  readonly heads: readonly string[];
  readonly sockets: ReadonlySet<Socket>;
  close(): Promise<void>;
}

/** A complete response. */
export const ANSWER =
  "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntanagercove-outcome: answered\r\n\r\nok";

/** Starts a raw server; without a script it closes each connection at once. */
export async function startScriptedServer(
  address: string,
  script: Script | undefined,
): Promise<ScriptedServer> {
  const requestIds: string[] = [];
  const heads: string[] = [];
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    if (script === undefined) return void socket.destroy();
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (data) => {
      text += data.toString("latin1");
      if (!text.includes("\r\n\r\n")) return;
      const head = text;
      text = "";
      if (!head.startsWith("GET /health ")) {
        heads.push(head);
        requestIds.push(/tanagercove-request-id: (\S+)/.exec(head)?.[1] ?? "");
      }
      script(socket, head);
    });
  });
  const port = await listen(server, address);
  return {
    port,
    requestIds,
    heads,
    sockets,
    close() {
      for (const socket of sockets) socket.destroy();
      return closeServer(server);
    },
  };
}

/** Options of `startMesh`. */
export interface StartMeshOptions {
  /** Second and third number of the IP addresses, such as `22.1` for 127.22.1.x. */
  readonly net: string;
  /** Port of the upstream of each VM; all are of service `swatches`. */
  readonly upstreamPorts: readonly number[];
  /** Replaces the peer port of the VMs, so that a scripted server stands in for the owner daemon. */
  readonly peerPorts?: readonly number[];
  readonly proxy?: Partial<StartProxyOptions>;
  /** Options of the owner daemons only. */
  readonly owner?: Partial<StartProxyOptions>;
  /** Secures the servers of the peer ports. */
  readonly peerTransport?: PeerTransport;
}

/** A caller's daemon (zone `z0`) and one owner daemon for each upstream. */
export interface Mesh {
  readonly host: string;
  readonly port: number;
  readonly caller: Proxy;
  readonly owners: readonly Proxy[];
  readonly vms: readonly Vm[];
  close(): Promise<void>;
}

/** Table in which customer `perth` may use `swatches`, and `lagos` has a plan without allowance. */
export function tableOf(vms: readonly Vm[], revision = 1): RoutingTable {
  const planByCustomer = new Map([["perth", "basic"], ["lagos", "new"]]);
  const servicesByPlan = new Map([
    ["basic", new Set(["swatches", "venues"])],
    ["other", new Set(["ledger"])],
  ]);
  const lists = { planByCustomer, servicesByPlan };
  return computeRoutingTable({ revision, lists, vms });
}

/** Starts daemons in this process, each at an address of its own. */
export async function startMesh(options: StartMeshOptions): Promise<Mesh> {
  const vms: Vm[] = [];
  const owners: Proxy[] = [];
  const servers: Server[] = [];
  for (const [index, upstreamPort] of options.upstreamPorts.entries()) {
    const address = `127.${options.net}.${index + 2}`;
    const owner = await startProxy({
      address,
      callerPort: 0,
      zone: "z0",
      service: "swatches",
      upstream: { address: `127.${options.net}.1`, port: upstreamPort },
      routingTable: () => tableOf(vms),
      ...options.proxy,
      ...options.owner,
    });
    const server = createServer(PEER_SERVER_OPTIONS, (request, response) => {
      if (!owner.handleForwarded(request, response)) {
        response.writeHead(404).end();
      }
    });
    owner.attachPeerServer(server);
    options.peerTransport?.secureServer(server);
    const peerPort = await listen(server, address);
    owners.push(owner);
    servers.push(server);
    const direct = options.proxy?.division === "direct";
    vms.push({
      id: `vm-${index}`,
      service: "swatches",
      zone: "z0",
      region: "r0",
      address: direct || options.peerPorts ? `127.${options.net}.1` : address,
      callerPort: owner.callerPort,
      peerPort: options.peerPorts?.[index] ?? peerPort,
      upstreamPort,
      state: "live",
    });
  }
  const host = `127.${options.net}.250`;
  const caller = await startProxy({
    address: host,
    callerPort: 0,
    zone: "z0",
    service: "relay",
    upstream: { address: host, port: 9 },
    routingTable: () => tableOf(vms),
    ...options.proxy,
  });
  return {
    host,
    port: caller.callerPort,
    caller,
    owners,
    vms,
    async close() {
      for (const proxy of [caller, ...owners]) {
        await proxy.close({ drainTimeoutMs: 0 });
      }
      for (const server of servers) {
        server.closeAllConnections();
        await closeServer(server);
      }
    },
  };
}

/** A response as received. */
export interface RawResponse {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly reason: string | undefined;
  readonly text: string;
  /** Everything after the head. */
  readonly body: string;
}

/** Header fields with which the customer `perth` calls the service `swatches`. */
export const CALL =
  "host: x\r\ntanagercove-customer: perth\r\ntanagercove-service: swatches\r\n";

/** Sends bytes on a new connection and reads until it closes. */
export function sendRaw(
  { host, port }: { readonly host: string; readonly port: number },
  bytes: string,
): Promise<RawResponse> {
  return new Promise((resolve) => {
    const socket = connect({ host, port, localAddress: host });
    const chunks: Buffer[] = [];
    socket.write(bytes, "latin1");
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("error", () => {});
    socket.on("close", () => {
      const text = Buffer.concat(chunks).toString("latin1");
      resolve({
        text,
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0),
        outcome: /^tanagercove-outcome: (.*)\r$/im.exec(text)?.[1],
        reason: /^tanagercove-reason: (.*)\r$/im.exec(text)?.[1],
        body: text.slice(text.indexOf("\r\n\r\n") + 4),
      });
    });
  });
}

/** Sends one request and reads its response. */
export function send(
  mesh: { readonly host: string; readonly port: number },
  method = "GET",
  fields = "",
): Promise<RawResponse> {
  return sendRaw(
    mesh,
    `${method} /v?a=1 HTTP/1.1\r\n${CALL}connection: close\r\n${fields}\r\n`,
  );
}

function listen(server: Server | TcpServer, host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      0,
      host,
      () => resolve((server.address() as AddressInfo).port),
    );
  });
}

function closeServer(server: Server | TcpServer): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
