import type { QueueOrder } from "@tanagercove/admission";
import { simulateQueue } from "./queue_simulation.ts";
import {
  type Choice,
  type Failure,
  type Reports,
  type ServiceSimulationOptions,
  type SimulatedDivision,
  simulateService,
} from "./service_simulation.ts";

/** Names of the policy simulations. */
export type ProgramName =
  | "queue_order"
  | "priority"
  | "choice"
  | "failures"
  | "silent";

/** Options of a program. */
export interface ProgramOptions {
  readonly seed: number;
  /** Virtual length of each run. */
  readonly durationMs: number;
  /** Receives one record for each run. */
  readonly write: (record: Readonly<Record<string, unknown>>) => void;
}

/** Runs one policy simulation. */
export type Program = (options: ProgramOptions) => Promise<void>;

/** All policy simulations by name. */
export const PROGRAMS: Readonly<Record<ProgramName, Program>> = {
  queue_order: compareQueueOrders,
  priority: comparePriorities,
  choice: compareChoices,
  failures: compareFailures,
  silent: compareSilences,
};

const SLOTS = 10;
const LOADS = [0.5, 1, 2, 4];
const NON_IDEMPOTENT_SHARE = 0.2;
const ORDERS: readonly QueueOrder[] = ["newest_first", "oldest_first"];

/** The default queue length, and a length at which requests can reach their deadlines in the queue. */
const QUEUE_LENGTHS = [4 * SLOTS, 40 * SLOTS];

/** Time that requests deep in a chain of calls have left until their deadlines, from barely enough to ample. */
const DEADLINE_MS = { min: 40, max: 400 };

async function compareQueueOrders(options: ProgramOptions): Promise<void> {
  for (const stallMs of [0, 300]) {
    for (const queueLength of QUEUE_LENGTHS) {
      for (const load of LOADS) {
        for (const queueOrder of ORDERS) {
          const figures = await simulateQueue({
            ...options,
            load: {
              idempotent: load * (1 - NON_IDEMPOTENT_SHARE),
              non_idempotent: load * NON_IDEMPOTENT_SHARE,
            },
            queue: { slots: SLOTS, queueLength, queueOrder },
            deadlineMs: DEADLINE_MS,
            stallMs,
          });
          options.write({ load, queueLength, queueOrder, stallMs, ...figures });
        }
      }
    }
  }
}

async function comparePriorities(options: ProgramOptions): Promise<void> {
  for (const nonIdempotentLoad of [0.2, 0.8, 1, 2]) {
    for (const idempotentGrantEvery of [0, 16, 8, 4, 2]) {
      const figures = await simulateQueue({
        ...options,
        load: { idempotent: 0.8, non_idempotent: nonIdempotentLoad },
        queue: { slots: SLOTS, idempotentGrantEvery },
        deadlineMs: DEADLINE_MS,
      });
      options.write({ nonIdempotentLoad, idempotentGrantEvery, ...figures });
    }
  }
}

const SERVICE: Omit<ServiceSimulationOptions, "seed" | "durationMs"> = {
  upstreamCount: 6,
  callerCount: 12,
  load: 0.6,
  choice: "two_choices",
  reports: "none",
  slowness: 1,
  failingCount: 0,
  failure: "refuses_connections",
  division: "direct",
  ejects: true,
  hasBudget: true,
};

const CHOICE_RUNS: readonly { choice: Choice; reports: Reports }[] = [
  { choice: "round_robin", reports: "none" },
  { choice: "random", reports: "none" },
  { choice: "two_choices", reports: "none" },
  { choice: "two_choices", reports: "honest" },
  { choice: "two_choices", reports: "slow_reports_idle" },
  { choice: "two_choices", reports: "all_lie" },
];

/** With few callers, each caller observes much of the load itself. With many callers, each observes almost none. */
const CALLER_COUNTS = [12, 300];

async function compareChoices(options: ProgramOptions): Promise<void> {
  for (const callerCount of CALLER_COUNTS) {
    for (const slowness of [1, 5]) {
      for (const run of CHOICE_RUNS) {
        const { before } = await simulateService({
          ...SERVICE,
          ...options,
          ...run,
          slowness,
          callerCount,
        });
        options.write({ callerCount, slowness, ...run, ...before });
      }
    }
  }
}

const GUARDS = [
  { ejects: false, hasBudget: false },
  { ejects: false, hasBudget: true },
  { ejects: true, hasBudget: false },
  { ejects: true, hasBudget: true },
];

async function compareFailures(options: ProgramOptions): Promise<void> {
  const failures: readonly Failure[] = ["refuses_connections", "frozen"];
  for (const failure of failures) {
    for (const failingCount of [2, SERVICE.upstreamCount]) {
      for (const guards of GUARDS) {
        const { during, after } = await simulateService({
          ...SERVICE,
          ...options,
          ...guards,
          failure,
          failingCount,
        });
        options.write({ failure, failingCount, ...guards, during, after });
      }
    }
  }
}

const DIVISIONS: readonly SimulatedDivision[] = [
  "direct",
  "owner_without_watch",
  "owner",
];

async function compareSilences(options: ProgramOptions): Promise<void> {
  for (const failure of ["frozen", "hangs"] as const) {
    for (const load of [0.3, 0.5, 0.6]) {
      for (const division of DIVISIONS) {
        const { during, after } = await simulateService({
          ...SERVICE,
          ...options,
          load,
          division,
          failure,
          failingCount: SERVICE.upstreamCount / 3,
        });
        options.write({ failure, load, division, during, after });
      }
    }
  }
}
