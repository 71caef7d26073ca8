import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADERS } from "@tanagercove/types";
import { Agent, request } from "undici";
import { createRandom } from "../common/random.ts";
import { parseTiming, type TimedCall } from "./call_timing.ts";

/** The two paths that a pair of calls compares: through a daemon, which chooses the upstream, and direct to an upstream. */
export interface PairTarget {
  readonly service: string;
  readonly daemonUrl: string;
  readonly upstreamUrl: string;
}

/** Options of `probePairs`. */
export interface ProbePairsOptions {
  readonly targets: readonly PairTarget[];
  readonly customer: string;
  readonly pairsPerSecond: number;
  readonly durationMs: number;
  readonly deadlineMs: number;
  readonly seed: number;
}

/** Paths that are compared; `control` is a second direct call, so its difference from the first is noise. */
export const CALL_PATHS = ["direct", "daemon", "control"] as const;

/** Path of a call. */
export type CallPath = typeof CALL_PATHS[number];

/** Calls of one pair; undefined where a call was not answered with 200. */
export interface PairResult {
  readonly calls: Readonly<Partial<Record<CallPath, TimedCall>>>;
  /** Delay of the first call against its due time. */
  readonly sentLateMs: number;
  /** Longest delay of the prober's event loop since the previous pair ended. */
  readonly loopMs: number;
}

/** Resolution of the event loop delay monitor, which is included in each value that it measures. */
const LOOP_RESOLUTION_MS = 1;

/**
 * Sends pairs: one call straight to an upstream and one through a daemon of its zone, with a second direct
 * call as control. The three are sent one after the other in rotating order, so that all see the same load.
 */
export async function probePairs(
  options: ProbePairsOptions,
): Promise<readonly PairResult[]> {
  const random = createRandom(options.seed);
  const agent = new Agent({ pipelining: 1, keepAliveTimeout: 1_000 });
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  loopDelay.enable();
  const pairs = Math.floor(options.pairsPerSecond * options.durationMs / 1_000);
  const startedAtMs = performance.now();
  const tasks: Promise<PairResult>[] = [];
  for (let pair = 0; pair < pairs; pair += 1) {
    const dueAtMs = startedAtMs + (pair + random()) * 1_000 /
        options.pairsPerSecond;
    await sleep(Math.max(0, dueAtMs - performance.now()));
    const target = options.targets[
      Math.floor(random() * options.targets.length)
    ]!;
    const sentLateMs = Math.max(0, performance.now() - dueAtMs);
    tasks.push(
      sendPair(target, { options, agent, pair }).then((calls) => {
        const loopMs = Math.max(0, loopDelay.max / 1e6 - LOOP_RESOLUTION_MS);
        loopDelay.reset();
        return { calls, sentLateMs, loopMs };
      }),
    );
  }
  const results = await Promise.all(tasks);
  loopDelay.disable();
  await agent.destroy();
  return results;
}

interface SendPairOptions {
  readonly options: ProbePairsOptions;
  readonly agent: Agent;
  readonly pair: number;
}

async function sendPair(
  target: PairTarget,
  context: SendPairOptions,
): Promise<PairResult["calls"]> {
  const calls: Partial<Record<CallPath, TimedCall>> = {};
  for (let step = 0; step < CALL_PATHS.length; step += 1) {
    const path = CALL_PATHS[(context.pair + step) % CALL_PATHS.length]!;
    const url = path === "daemon" ? target.daemonUrl : target.upstreamUrl;
    calls[path] = await timeCall(`${url}/pair`, { ...context, path, target });
  }
  return calls;
}

async function timeCall(
  url: string,
  { options, agent, pair, path, target }: SendPairOptions & {
    readonly path: CallPath;
    readonly target: PairTarget;
  },
): Promise<TimedCall | undefined> {
  const startedAtMs = performance.now();
  try {
    const answer = await request(
      `${url}?id=pair-${options.seed}-${pair}-${path}&timing=1`,
      {
        headers: {
          [HEADERS.customer]: options.customer,
          [HEADERS.service]: target.service,
          [HEADERS.deadlineMs]: String(options.deadlineMs),
          [HEADERS.timing]: "1",
        },
        dispatcher: agent,
        signal: AbortSignal.timeout(options.deadlineMs),
      },
    );
    await answer.body.text();
    const latencyMs = performance.now() - startedAtMs;
    if (answer.statusCode !== 200) return undefined;
    const parts = parseTiming(answer.headers["server-timing"] ?? []);
    return { latencyMs, parts };
  } catch {
    return undefined;
  }
}
