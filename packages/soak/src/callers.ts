import { Agent, request as open } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@tanagercove/emulator";
import type { SoakPlatform, SoakVm } from "./ports.ts";
import type { CallRecord } from "./promises.ts";

/** Time that a request of the soak allows. */
export const DEADLINE_MS = 900;

/** A caller gives up after this time; it is far above any bound, so it shows a request that never ends. */
const GIVE_UP_MS = 6_000;

/** Pause between two requests of a caller: light load, so that faults and not overload decide. */
const PAUSE_MS = { least: 20, most: 80 } as const;

/** Share of requests that must not be sent twice. */
const POST_SHARE = 0.4;

/** Options of `runCaller`. */
export interface RunCallerOptions {
  readonly platform: SoakPlatform;
  readonly vm: SoakVm;
  /** Ids of its requests begin with it. */
  readonly name: string;
  readonly random: Random;
  /** Whether the daemon has said that it stops; callers then keep to the connections that are open. */
  readonly isStopping: () => boolean;
  readonly onCall: (call: CallRecord) => void;
  readonly signal: AbortSignal;
}

/** Sends requests one after the other on one kept connection, until the signal. */
export async function runCaller(options: RunCallerOptions): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let sent = 0;
  while (!options.signal.aborted) {
    const hasConnection = Object.keys(agent.freeSockets).length > 0;
    if (hasConnection || !options.isStopping()) {
      const id = `${options.name}-${sent += 1}`;
      const isPost = options.random() < POST_SHARE;
      const call = await sendCall({
        platform: options.platform,
        vm: options.vm,
        id,
        agent,
        method: isPost ? "POST" : "GET",
        path: isPost ? `/buy/${id}` : `/browse/${id}`,
      });
      options.onCall(call);
    }
    const range = PAUSE_MS.most - PAUSE_MS.least;
    await sleep(PAUSE_MS.least + options.random() * range);
  }
  agent.destroy();
}

/** Options of `sendCall`. */
export interface SendCallOptions {
  readonly platform: SoakPlatform;
  readonly vm: SoakVm;
  readonly id: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  /** A connection of its own by default. */
  readonly agent?: Agent;
  /** Body of a POST. */
  readonly body?: string;
}

/** Sends one request to the daemon of a VM. */
export function sendCall(options: SendCallOptions): Promise<CallRecord> {
  const { platform, vm, id, method, path } = options;
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const end = (
      result: Pick<CallRecord, "status" | "body" | "error">,
    ) => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      resolve({ id, vmId: vm.id, method, sentAtMs, endedAtMs, ...result });
    };
    const fail = (error: NodeJS.ErrnoException) =>
      end({ status: undefined, body: "", error: error.code ?? error.message });
    const request = open({
      host: vm.address,
      port: platform.ports.caller,
      path,
      method,
      agent: options.agent ?? false,
      headers: {
        host: "shop.example",
        ...platform.requestHeaders({ id, timeLeftMs: DEADLINE_MS }),
      },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", fail);
      response.on("end", () =>
        end({
          status: response.statusCode,
          body: Buffer.concat(chunks).toString(),
          error: undefined,
        }));
    });
    request.on("error", fail);
    const timer = setTimeout(
      () => request.destroy(new Error("no end within 6 s")),
      GIVE_UP_MS,
    );
    request.end(method === "POST" ? options.body ?? "1" : undefined);
  });
}
