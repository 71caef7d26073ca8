import { setTimeout as sleep } from "node:timers/promises";
import { HEADERS } from "@tanagercove/types";
import { Agent, request } from "undici";
import { createRandom } from "../common/random.ts";

/** The two ways to one upstream that a pair of calls compares. */
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

/** Latencies of one pair; undefined where a call was not answered with 200. */
export interface PairResult {
  readonly directMs: number | undefined;
  readonly daemonMs: number | undefined;
}

/**
 * Sends pairs of one call straight to an upstream and one through the daemon of its zone, one after the
 * other in alternating order, so that both see the same load.
 */
export async function probePairs(
  options: ProbePairsOptions,
): Promise<readonly PairResult[]> {
  const random = createRandom(options.seed);
  const agent = new Agent({ pipelining: 1, keepAliveTimeout: 1_000 });
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
    tasks.push(sendPair(target, { options, agent, pair }));
  }
  const results = await Promise.all(tasks);
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
  { options, agent, pair }: SendPairOptions,
): Promise<PairResult> {
  const timed = async (url: string, way: string) => {
    const startedAtMs = performance.now();
    try {
      const answer = await request(
        `${url}/pair?id=pair-${options.seed}-${pair}-${way}`,
        {
          headers: {
            [HEADERS.customer]: options.customer,
            [HEADERS.service]: target.service,
            [HEADERS.deadlineMs]: String(options.deadlineMs),
          },
          dispatcher: agent,
          signal: AbortSignal.timeout(options.deadlineMs),
        },
      );
      await answer.body.text();
      const latencyMs = performance.now() - startedAtMs;
      return answer.statusCode === 200 ? latencyMs : undefined;
    } catch {
      return undefined;
    }
  };
  const direct = () => timed(target.upstreamUrl, "direct");
  const daemon = () => timed(target.daemonUrl, "daemon");
  if (pair % 2 === 0) {
    const directMs = await direct();
    return { directMs, daemonMs: await daemon() };
  }
  const daemonMs = await daemon();
  return { directMs: await direct(), daemonMs };
}
