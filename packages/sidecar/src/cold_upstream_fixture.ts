import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Test } from "tap";
import { AnswerMemory } from "@tanagercove/memory";
import { ColdStarts } from "./cold_starts.ts";
import { ConnectionAgents } from "./connection_agent.ts";
import { fetchUpstreamHealth } from "./fetch_upstream_health.ts";
import { createOwner, type OwnedRequest, type OwnedRun } from "./owner.ts";
import { NAMES, TICKET } from "./peer_server_fixture.ts";
import { SendQueue } from "./send_queue.ts";
import { UpstreamBodies } from "./upstream_bodies.ts";
import { UpstreamIdentity } from "./upstream_identity.ts";

const COLD_DURATION_MS = 60_000;

/** What the upstreams of the service bear while they are cold, and the platform's bound on it. */
export const COLD_PER_SECOND = 6;
export const COLD_BOUNDS = { overFactor: 1.5, slackCount: 8 };

/** Most requests that a cold upstream may get in any second. */
export const COLD_BOUND = COLD_PER_SECOND * COLD_BOUNDS.overFactor +
  COLD_BOUNDS.slackCount;

/** An upstream that can restart in place, and tells in its health answers how long it stays cold. */
class FakeColdUpstream {
  /** Times at which the present process got its requests. */
  arrivalsMs: number[] = [];
  healthChecks = 0;
  /** Text of the field in health answers; none by default. */
  coldField: string | undefined;
  /** Time until a request is answered. */
  workMs = 0;
  port = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((request, response) => {
    if (request.url === "/health") this.#answerHealthCheck(response);
    else this.#answer(request, response);
  });

  async listen(): Promise<void> {
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.port = (this.#server.address() as { port: number }).port;
  }

  /** Ends all connections, and is cold from then on. */
  restart(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.coldField = String(COLD_DURATION_MS);
    this.arrivalsMs = [];
  }

  /** Resets one connection. */
  cutOne(): void {
    const [socket] = this.#sockets;
    socket!.resetAndDestroy();
  }

  /** Most requests that the present process got in any second. */
  mostInAnySecond(): number {
    return Math.max(
      0,
      ...this.arrivalsMs.map((fromMs) =>
        this.arrivalsMs.filter((ms) => ms >= fromMs && ms < fromMs + 1_000)
          .length
      ),
    );
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #answerHealthCheck(response: ServerResponse): void {
    this.healthChecks += 1;
    const { coldField } = this;
    response.writeHead(200, {
      [NAMES.answeringUpstreamId]: TICKET.upstreamId,
      ...(coldField !== undefined && { [NAMES.coldMs]: coldField }),
    }).end("ok");
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    this.arrivalsMs.push(performance.now());
    setTimeout(() => {
      response.writeHead(200, {
        [NAMES.requestId]: request.headers[NAMES.requestId],
        [NAMES.signature]: "s",
      }).end("ok");
    }, this.workMs);
  }
}

/** Options of `startColdUpstream`. */
export interface StartColdUpstreamOptions {
  readonly slots?: number;
}

/** Starts an upstream and the owner of it; daemons that restart beside it are started with `startOwner`. */
export async function startColdUpstream(
  t: Test,
  { slots = 40 }: StartColdUpstreamOptions = {},
) {
  const upstream = new FakeColdUpstream();
  await upstream.listen();
  t.teardown(() => upstream.close());

  function startOwner() {
    const agents = new ConnectionAgents({
      maxIdleMs: 4_000,
      onIdleClose: () => coldStarts.recordIdleClose(),
    });
    const destination = { address: "127.0.0.1", port: upstream.port };
    const coldStarts = new ColdStarts({
      bounds: COLD_BOUNDS,
      definition: () => ({
        name: TICKET.service,
        healthPath: "/health",
        maxConnections: 500,
        coldStart: {
          durationMs: COLD_DURATION_MS,
          requestsPerSecond: COLD_PER_SECOND,
        },
      }),
      idleConnections: () => agents.idleConnections(),
      async checkHealth() {
        const health = await fetchUpstreamHealth({
          agent: agents.forSingleUse,
          upstream: destination,
          localAddress: "127.0.0.1",
          healthPath: "/health",
          idHeader: NAMES.answeringUpstreamId,
          coldHeader: NAMES.coldMs,
        });
        if (health !== undefined) coldStarts.recordHealth(health);
        return health;
      },
    });
    const owner = createOwner({
      upstream: destination,
      localAddress: "127.0.0.1",
      agents,
      names: NAMES,
      maxAnswerBytes: 1_000,
      answerMemory: new AnswerMemory({ maxBufferedBytes: 1_000_000 }),
      bodies: new UpstreamBodies({ maxBytes: 1_000_000 }),
      identity: new UpstreamIdentity({
        service: TICKET.service,
        fetchId: () => Promise.resolve(undefined),
        isUsable: () => true,
      }),
      sendQueue: new SendQueue({ isBehind: () => false }),
      coldStarts,
      onUpstreamLeaving: () => {},
      onLimit: () => {},
    });
    owner.setSlots(slots);
    t.teardown(() => {
      owner.close();
      coldStarts.close();
      agents.close();
    });
    return { owner, coldStarts };
  }

  return { upstream, startOwner };
}

let requestCount = 0;

/** A request whose caller waits for the answer for this long. */
export function coldRequest(
  { timeLeftMs = 2_000, objectiveLeftMs = 500 } = {},
): OwnedRequest {
  requestCount += 1;
  const requestId = `r${requestCount}`;
  return {
    ticket: {
      ...TICKET,
      timeLeftMs,
      objectiveLeftMs,
      mayWait: true,
      isNested: false,
    },
    requestId,
    method: "GET",
    path: "/browse/x",
    headers: ["Host", "shop.example", NAMES.requestId, requestId],
    body: undefined,
  };
}

/** How many of these requests ended in each way: `answered`, or the reason why they did not run or are not known. */
export async function countEnds(
  runs: readonly OwnedRun[],
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = {};
  for (const { verdict } of await Promise.all(runs.map((run) => run.ended))) {
    const end = verdict.kind === "answered" ? "answered" : verdict.reason;
    counts[end] = (counts[end] ?? 0) + 1;
  }
  return counts;
}
