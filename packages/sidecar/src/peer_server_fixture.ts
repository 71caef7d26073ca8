import { connect, type Socket } from "node:net";
import type { Test } from "tap";
import { Catalog } from "@tanagercove/catalog";
import { createMemory } from "./memory_fixture.ts";
import type { ForwardTicket } from "./forwarding.ts";
import type { OwnedRequest, Owner } from "./owner.ts";
import { startPeerServer, type StartPeerServerOptions } from "./peer_server.ts";
import type { RequestHeaderNames } from "./settings.ts";

/** Header names of the fixture. */
export const NAMES: RequestHeaderNames = {
  requestId: "x-id",
  timeLeftMs: "x-left",
  signature: "x-signature",
  upstreamId: "x-upstream",
  answeringUpstreamId: "x-answering",
  load: "x-load",
  notRun: "x-not-run",
  limitPerSecond: "x-limit",
  leaving: "x-leaving",
  callerService: "x-caller",
  coldMs: "x-cold-ms",
};

const LOAD = { running: 0, slots: 4, waitingByRank: [0], serviceTimeMs: 50 };

/** A ticket for `forwardedRequest`. */
export const TICKET: ForwardTicket = {
  upstreamId: "u1",
  service: "shop",
  route: "browse",
  requestClass: "idempotent",
  rank: 1,
  timeLeftMs: 900,
  objectiveLeftMs: 400,
  isNested: false,
  callerService: "web",
  version: 1,
  mayWait: true,
};

/** Starts a peer server; by default its owner answers each request with 200. */
export async function setUpPeerServer(
  t: Test,
  owner?: Owner,
  overrides: Partial<StartPeerServerOptions> = {},
) {
  const runs: OwnedRequest[] = [];
  const failures: unknown[] = [];
  let error: Error | undefined;
  const answeringOwner: Owner = {
    run(request) {
      if (error !== undefined) throw error;
      runs.push(request);
      const answer = { status: 200, headers: [], body: Buffer.from("whole") };
      const verdict = { kind: "answered" as const, serviceMs: 1 };
      return { ended: Promise.resolve({ verdict, answer }), cancel() {} };
    },
    preview: () => ({
      verdict: { kind: "run" },
      neededMs: 1,
      retryAfterMs: 0,
    }),
    reserveBody: () => ({ close() {} }),
    recordCall: () => {},
    setOrder: () => {},
    runsParentOf: () => false,
    beginNested: () => () => {},
    capacityStatus: () => undefined,
    load: () => LOAD,
    running: 0,
    waiting: 0,
    setSlots() {},
    setLeaving() {},
    close() {},
  };
  const listener = await startPeerServer({
    address: "127.0.0.1",
    ports: [0],
    names: NAMES,
    memory: createMemory(),
    owner: owner ?? answeringOwner,
    catalog: new Catalog(),
    feedId: "f",
    isInContact: () => true,
    readers: () => [],
    confirmedAgeMs: () => Infinity,
    confirmation: () => 0,
    state: () => ({ load: LOAD, version: 1, revision: 1 }),
    accepts: () => true,
    isLeaving: () => false,
    links: { record: () => {}, table: () => ({}) },
    maxBodyBytes: () => 1_000,
    onForwarded: () => {},
    onHandlerFailed: (failure) => failures.push(failure),
    ...overrides,
  });
  t.teardown(() => listener.close());
  const { port } = listener.server.address() as { port: number };
  const failWith = (next: Error | undefined) => error = next;
  return { port, runs, failures, failWith };
}

/** Opens connections to a server on the loopback address. */
export function openConnections(
  port: number,
  count: number,
): Promise<Socket[]> {
  return Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<Socket>((resolve, reject) => {
          const socket = connect(port, "127.0.0.1", () => resolve(socket));
          socket.on("error", reject);
        }),
    ),
  );
}

/** Bytes of a request that another daemon forwards. */
export function forwardedRequest(ticket: string, path = "/browse/x"): string {
  return `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n` +
    `Tanagercove-Forward: ${ticket}\r\n\r\n`;
}
