import {
  AdmissionQueue,
  type AdmissionQueueOptions,
  type RequestClass,
} from "@tanagercove/admission";
import { SeededRandom, VirtualClock } from "@tanagercove/test_helpers";
import { Latencies, type LatencySummary, round } from "./latencies.ts";

/** Options of `simulateQueue`. */
export interface QueueSimulationOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Offered load of each class, as a multiple of the capacity of all slots. */
  readonly load: Readonly<Record<RequestClass, number>>;
  readonly queue: Omit<AdmissionQueueOptions, "clock">;
  /** Time from sending a request to its deadline, uniformly distributed. */
  readonly deadlineMs: { readonly min: number; readonly max: number };
  /** Duration of a stall of the upstream every `STALL_INTERVAL_MS`; none by default. */
  readonly stallMs?: number;
}

/** Outcomes of the requests of one class. */
export interface ClassFigures extends LatencySummary {
  readonly offered: number;
  /** Requests answered before the deadline; the latency percentiles cover only these requests. */
  readonly answered: number;
  /** Requests that ran, but reached the deadline before the answer. */
  readonly late: number;
  readonly refused: number;
  /** Requests refused after waiting in the queue; also counted in `refused`. */
  readonly refusedLater: number;
}

/** Figures of one run. */
export interface QueueFigures {
  /** Answers before the deadline, as a share of the capacity. */
  readonly goodput: number;
  readonly classes: Readonly<Record<RequestClass, ClassFigures>>;
}

const MIN_SERVICE_MS = 5;
const MEAN_SERVICE_MS = 20;
const STALL_INTERVAL_MS = 5_000;

type Counts = {
  offered: number;
  answered: number;
  late: number;
  refused: number;
  refusedLater: number;
};

interface ClassRecord {
  readonly counts: Counts;
  readonly latencies: Latencies;
}

/** Runs one admission queue in front of an upstream in virtual time. */
export async function simulateQueue(
  options: QueueSimulationOptions,
): Promise<QueueFigures> {
  const clock = new VirtualClock();
  const random = new SeededRandom(options.seed);
  const queue = new AdmissionQueue({ ...options.queue, clock });
  const capacityPerMs = options.queue.slots / MEAN_SERVICE_MS;
  const records = {
    idempotent: createClassRecord(),
    non_idempotent: createClassRecord(),
  };
  for (const requestClass of ["idempotent", "non_idempotent"] as const) {
    const arrivalsPerMs = options.load[requestClass] * capacityPerMs;
    if (arrivalsPerMs > 0) scheduleArrival(requestClass, 1 / arrivalsPerMs);
  }
  await clock.advance(options.durationMs);
  await clock.advance(options.deadlineMs.max);
  await queue.close();
  const answered = records.idempotent.counts.answered +
    records.non_idempotent.counts.answered;
  return {
    goodput: round(answered / (options.durationMs * capacityPerMs)),
    classes: {
      idempotent: figuresOf(records.idempotent),
      non_idempotent: figuresOf(records.non_idempotent),
    },
  };

  function scheduleArrival(requestClass: RequestClass, meanMs: number): void {
    clock.setTimer(() => {
      if (clock.nowMs() >= options.durationMs) return;
      void send(requestClass);
      scheduleArrival(requestClass, meanMs);
    }, random.exponential(meanMs));
  }

  async function send(requestClass: RequestClass): Promise<void> {
    const { counts, latencies } = records[requestClass];
    const { min, max } = options.deadlineMs;
    const deadlineMs = random.between(min, max);
    const serviceMs = MIN_SERVICE_MS +
      random.exponential(MEAN_SERVICE_MS - MIN_SERVICE_MS);
    const sentAtMs = clock.nowMs();
    counts.offered += 1;
    const verdict = await queue.admit({
      idempotent: requestClass === "idempotent",
      deadlineMs,
    });
    if (verdict.isErr) {
      counts.refused += 1;
      if (clock.nowMs() > sentAtMs) counts.refusedLater += 1;
      return;
    }
    const neededMs = serviceMs + stallLeftMs(clock.nowMs());
    const timeLeftMs = sentAtMs + deadlineMs - clock.nowMs();
    clock.setTimer(() => {
      verdict.value.release();
      if (neededMs > timeLeftMs) counts.late += 1;
      else {
        counts.answered += 1;
        latencies.record(clock.nowMs() - sentAtMs);
      }
    }, Math.min(neededMs, timeLeftMs));
  }

  function stallLeftMs(nowMs: number): number {
    return Math.max(0, (options.stallMs ?? 0) - nowMs % STALL_INTERVAL_MS);
  }
}

function createClassRecord(): ClassRecord {
  return {
    counts: { offered: 0, answered: 0, late: 0, refused: 0, refusedLater: 0 },
    latencies: new Latencies(),
  };
}

function figuresOf({ counts, latencies }: ClassRecord): ClassFigures {
  return { ...counts, ...latencies.summary() };
}
