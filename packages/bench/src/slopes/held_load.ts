import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { HEADERS } from "@tanagercove/types";
import { Agent, request } from "undici";
import type { SlopesMesh } from "./slopes_mesh.ts";

/** Longer than the measurement of queued requests, so that none of them reaches its deadline meanwhile. */
const HELD_DEADLINE_MS = 60_000;

/** Connections on which nothing is sent. */
export interface HeldConnections {
  /** Opens connections until there are this many. */
  grow(count: number): Promise<void>;
  close(): void;
}

/** Keeps idle connections to a server. */
export function holdIdleConnections(
  { host, port }: { readonly host: string; readonly port: number },
): HeldConnections {
  const sockets: Socket[] = [];
  return {
    async grow(count) {
      const opened: Promise<unknown>[] = [];
      while (sockets.length < count) {
        const socket = connect({ host, port });
        socket.on("error", () => {});
        sockets.push(socket);
        opened.push(once(socket, "connect"));
      }
      await Promise.all(opened);
    },
    close() {
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Requests that wait for an answer. */
export interface HeldRequests {
  /** Requests that have neither been answered nor failed. */
  readonly count: number;
  /** Sends requests until this many have been sent. */
  grow(count: number): void;
  close(): Promise<void>;
}

/** Keeps requests waiting in the owner daemon's queue. */
export function holdRequests(slopes: SlopesMesh): HeldRequests {
  const agent = new Agent({ pipelining: 1, headersTimeout: HELD_DEADLINE_MS });
  let sent = 0;
  let held = 0;

  async function hold(id: number): Promise<void> {
    held += 1;
    try {
      const answer = await request(`${slopes.callerUrl}/held?id=held-${id}`, {
        headers: {
          [HEADERS.customer]: slopes.customer,
          [HEADERS.service]: slopes.service,
          [HEADERS.deadlineMs]: String(HELD_DEADLINE_MS),
        },
        dispatcher: agent,
      });
      await answer.body.dump();
    } catch {
      // Destroying the agent at the end rejects the requests that still wait.
    }
    held -= 1;
  }

  return {
    get count() {
      return held;
    },
    grow(count) {
      for (; sent < count; sent += 1) void hold(sent);
    },
    close: () => agent.destroy(),
  };
}
