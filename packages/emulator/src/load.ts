import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { HEADERS, type Outcome, type Reason } from "@tanagercove/types";
import type { Execution } from "./execution_log.ts";
import {
  type CallRecord,
  type LoadReport,
  type ReportedOutcome,
  reportLoad,
} from "./load_report.ts";
import { pickOne, type Random, seededRandom } from "./seeded_random.ts";
import { paddingOf } from "./answer_body.ts";

/** Options of `runLoad`. */
export interface RunLoadOptions {
  /** URLs of caller ports; each request goes to a random one. */
  readonly targets: readonly string[];
  readonly customers: readonly string[];
  readonly services: readonly string[];
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Ends the run after this many requests; no limit by default. */
  readonly maxRequests?: number;
  readonly seed: number;
  /** Share of GET requests; the others are POST. Default 0.8. */
  readonly idempotentShare?: number;
  /** Share of GET requests by service; takes precedence over `idempotentShare`. */
  readonly idempotentShareByService?: Readonly<Record<string, number>>;
  readonly deadlineMs?: number;
  /** Size of the requested answers; small by default. */
  readonly answerBytes?: number;
  /** Size of the bodies of POST requests; default 64. */
  readonly requestBytes?: number;
  /** Due requests beyond this many in flight are counted as not sent. */
  readonly maxInFlight?: number;
  /** Ends the run early; requests in flight are waited for. */
  readonly signal?: AbortSignal;
  readonly onCall?: (call: CallRecord) => void;
  /** Called when all requests have ended, to compare them with what the upstreams executed. */
  readonly executions?: () => readonly Execution[];
}

const DEFAULT_IDEMPOTENT_SHARE = 0.8;
const DEFAULT_DEADLINE_MS = 5_000;
const DEFAULT_REQUEST_BYTES = 64;
const DEFAULT_MAX_IN_FLIGHT = 4_000;
/** Daemons answer by the deadline; a caller times out this much later. */
const CALLER_EXTRA_WAIT_MS = 2_000;
/** Yields to the event loop after this many requests, so that a sender that is behind cannot starve it. */
const MAX_SENDS_BEFORE_YIELD = 50;

interface PlannedCall {
  readonly id: string;
  readonly target: string;
  readonly customer: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly dueAtMs: number;
  /** `dueAtMs` relative to the start of the run. */
  readonly dueAfterMs: number;
}

/**
 * Sends open-loop load: requests at random times with the given mean rate, whether or not earlier ones
 * have been answered. Latency counts from the time at which a request was due, so that it includes the
 * delay of a slow sender.
 */
export async function runLoad(options: RunLoadOptions): Promise<LoadReport> {
  const random = seededRandom(options.seed);
  // Runs against the same upstreams must not share ids.
  const runId = `${options.seed}-${Date.now().toString(36)}`;
  const agent = new Agent({ pipelining: 1, keepAliveTimeout: 1_000 });
  const calls: CallRecord[] = [];
  const inFlight = new Set<Promise<void>>();
  const maxInFlight = options.maxInFlight ?? DEFAULT_MAX_IN_FLIGHT;
  const startedAtMs = performance.now();
  const endAtMs = startedAtMs + options.durationMs;
  let dueAtMs = startedAtMs;
  let notSent = 0;
  let sent = 0;

  for (let iteration = 1;; iteration += 1) {
    dueAtMs += randomIntervalMs(options.ratePerSecond, random);
    if (dueAtMs >= endAtMs) break;
    const call = planCall(options, {
      random,
      id: `${runId}-${sent}`,
      dueAtMs,
      startedAtMs,
    });
    const waitMs = dueAtMs - performance.now();
    if (waitMs > 0 || iteration % MAX_SENDS_BEFORE_YIELD === 0) {
      await sleep(Math.max(0, waitMs), undefined, { signal: options.signal })
        .catch(() => {});
    }
    if (options.signal?.aborted || sent === options.maxRequests) break;
    if (inFlight.size >= maxInFlight) {
      notSent += 1;
      continue;
    }
    sent += 1;
    const task = sendCall(call, { options, agent }).then((record) => {
      calls.push(record);
      options.onCall?.(record);
      inFlight.delete(task);
    });
    inFlight.add(task);
  }
  await Promise.all(inFlight);
  await agent.destroy();
  return reportLoad({
    seed: options.seed,
    ratePerSecond: options.ratePerSecond,
    durationMs: performance.now() - startedAtMs,
    calls,
    notSent,
    executions: options.executions?.(),
  });
}

function randomIntervalMs(ratePerSecond: number, random: Random): number {
  return -Math.log(1 - random()) * 1_000 / ratePerSecond;
}

function planCall(
  options: RunLoadOptions,
  { random, id, dueAtMs, startedAtMs }: {
    readonly random: Random;
    readonly id: string;
    readonly dueAtMs: number;
    readonly startedAtMs: number;
  },
): PlannedCall {
  const target = pickOne(options.targets, random);
  const customer = pickOne(options.customers, random);
  const service = pickOne(options.services, random);
  const share = options.idempotentShareByService?.[service] ??
    options.idempotentShare ?? DEFAULT_IDEMPOTENT_SHARE;
  return {
    id,
    target,
    customer,
    service,
    idempotent: random() < share,
    dueAtMs,
    dueAfterMs: dueAtMs - startedAtMs,
  };
}

interface SendCallOptions {
  readonly options: RunLoadOptions;
  readonly agent: Agent;
}

async function sendCall(
  call: PlannedCall,
  { options, agent }: SendCallOptions,
): Promise<CallRecord> {
  const { id, customer, service, idempotent, dueAtMs, dueAfterMs } = call;
  const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const answerBytes = options.answerBytes ?? 0;
  const sentAtMs = performance.now();
  const sentLateMs = Math.max(0, sentAtMs - dueAtMs);
  // A timer may fire up to 1 ms early; latency then counts from the sending, so it is never negative.
  const latencyFromMs = Math.min(dueAtMs, sentAtMs);
  const latencyMs = () => performance.now() - latencyFromMs;
  const base = {
    id,
    customer,
    service,
    idempotent,
    dueAfterMs,
    sentLateMs,
  };
  try {
    const response = await request(
      `${call.target}/load?id=${id}&answer_bytes=${answerBytes}`,
      {
        method: idempotent ? "GET" : "POST",
        body: idempotent
          ? undefined
          : "x".repeat(options.requestBytes ?? DEFAULT_REQUEST_BYTES),
        headers: {
          [HEADERS.customer]: customer,
          [HEADERS.service]: service,
          [HEADERS.requestId]: id,
          [HEADERS.deadlineMs]: String(deadlineMs),
        },
        dispatcher: agent,
        signal: AbortSignal.timeout(deadlineMs + CALLER_EXTRA_WAIT_MS),
      },
    );
    const text = await response.body.text();
    const outcome = reportedOutcome(response.headers[HEADERS.outcome]);
    const reason = response.headers[HEADERS.reason];
    return {
      ...base,
      outcome,
      reason: typeof reason === "string" ? reason as Reason : undefined,
      status: response.statusCode,
      latencyMs: latencyMs(),
      wrongAnswer: outcome === "answered" && response.statusCode === 200
        ? describeWrongAnswer(text, { id, answerBytes })
        : undefined,
    };
  } catch {
    return {
      ...base,
      outcome: "none",
      reason: undefined,
      status: undefined,
      latencyMs: latencyMs(),
    };
  }
}

const OUTCOMES: readonly Outcome[] = ["answered", "not_run", "unknown"];

function reportedOutcome(
  header: string | string[] | undefined,
): ReportedOutcome {
  return OUTCOMES.find((outcome) => outcome === header) ?? "none";
}

/** Describes an answer whose id, padding or size does not fit the request; undefined if all do. */
function describeWrongAnswer(
  text: string,
  { id, answerBytes }: { readonly id: string; readonly answerBytes: number },
): string | undefined {
  try {
    const answer = JSON.parse(text) as { id?: string; pad?: string };
    if (answer.id !== id) return `answer to request "${answer.id}"`;
    const pad = answer.pad ?? "";
    if (pad !== paddingOf(id, pad.length)) return "padding of another request";
    if (Buffer.byteLength(text) < answerBytes) return "answer too short";
    return undefined;
  } catch {
    return "answer is no complete JSON";
  }
}
