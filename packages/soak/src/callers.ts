import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@tanagercove/emulator";
import {
  ONCE_SUFFIX,
  oncePath,
  type SoakPlatform,
  type SoakVm,
} from "./ports.ts";
import type { CallRecord } from "./promises.ts";

/** Deadline of each request of the soak. */
export const DEADLINE_MS = 900;

/**
 * Time after which a caller aborts a request. It is far above the deadline plus `END_TOLERANCE_MS`, the longest
 * accepted delay, so that only a request that never ends is aborted.
 */
const CALLER_TIMEOUT_MS = 6_000;

/** Range of the pause between two requests of a caller; the load is light, so that faults and not overload cause failures. */
const CALLER_PAUSE_MS = { least: 20, most: 80 } as const;

/** Share of a caller's requests that are not idempotent. */
const POST_SHARE = 0.4;

/** Share of a caller's requests to a path whose requests an earlier version takes for idempotent. */
const ONCE_SHARE = 0.2;

/** One of this many requests has `MANY_FIELDS`, which come before the one that announces its body. */
const MANY_FIELDS_INTERVAL = 16;

const MANY_FIELDS: Readonly<Record<string, string>> = Object.fromEntries(
  Array.from({ length: 1_100 }, (_, i) => [`x${i.toString(36)}`, "1"]),
);

/** Options of `runCaller`. */
export interface RunCallerOptions {
  readonly platform: SoakPlatform;
  readonly vm: SoakVm;
  /** Prefix of the ids of the caller's requests. */
  readonly name: string;
  readonly random: Random;
  /** Whether the daemon is between its stop signal and the end of its process; the caller then opens no new connection. */
  readonly isStopping: () => boolean;
  /** Newest version that must be in force. */
  readonly newestInForce: () => number | undefined;
  readonly onCall: (call: CallRecord) => void;
  readonly signal: AbortSignal;
}

/** Sends requests one after the other, on at most one keep-alive connection at a time, until the signal aborts. */
export async function runCaller(options: RunCallerOptions): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let sent = 0;
  while (!options.signal.aborted) {
    const hasConnection = Object.keys(agent.freeSockets).length > 0;
    if (hasConnection || !options.isStopping()) {
      const number = `${options.name}-${sent += 1}`;
      const isPost = options.random() < POST_SHARE;
      const onceVersion = options.random() < ONCE_SHARE
        ? options.newestInForce()
        : undefined;
      const id = onceVersion === undefined ? number : `${number}${ONCE_SUFFIX}`;
      const prefix = onceVersion === undefined
        ? (isPost ? "/buy/" : "/browse/")
        : oncePath(onceVersion);
      const call = await sendCall({
        platform: options.platform,
        vm: options.vm,
        id,
        agent,
        method: isPost ? "POST" : "GET",
        path: `${prefix}${id}`,
        fields: sent % MANY_FIELDS_INTERVAL === 0 ? MANY_FIELDS : {},
      });
      options.onCall(call);
    }
    const range = CALLER_PAUSE_MS.most - CALLER_PAUSE_MS.least;
    await sleep(CALLER_PAUSE_MS.least + options.random() * range);
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
  /** By default, the request gets a new connection. */
  readonly agent?: Agent;
  /** Body of a POST; `1` by default. */
  readonly body?: string;
  /** Fields beside those that each request has. */
  readonly fields?: Readonly<Record<string, string>>;
}

/** Sends one request to the daemon of a VM. */
export function sendCall(options: SendCallOptions): Promise<CallRecord> {
  const { platform, vm, id, method, path, fields = {} } = options;
  const body = method === "POST" ? options.body ?? "1" : "";
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const end = (
      result: Pick<CallRecord, "status" | "body" | "error">,
    ) => {
      clearTimeout(timer);
      const endedAtMs = performance.now();
      resolve({
        id,
        vmId: vm.id,
        method,
        sentBody: body,
        sentFields: Object.keys(fields),
        sentAtMs,
        endedAtMs,
        ...result,
      });
    };
    const fail = (error: NodeJS.ErrnoException) =>
      end({ status: undefined, body: "", error: error.code ?? error.message });
    const request = httpRequest({
      host: vm.address,
      port: platform.ports.caller,
      path,
      method,
      agent: options.agent ?? false,
      headers: {
        host: "shop.example",
        ...platform.requestHeaders({ id, timeLeftMs: DEADLINE_MS }),
        ...fields,
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
      () => request.destroy(new Error("no complete response within 6 s")),
      CALLER_TIMEOUT_MS,
    );
    request.end(body === "" ? undefined : body);
  });
}
