import { pickOne, type Random, seededRandom } from "@tanagercove/emulator";

/** Kinds of fault; each is begun by a handler of `applyFault`. */
export const FAULT_KINDS = [
  "change_version",
  "cut_link",
  "cut_one_way",
  "cut_zone",
  "delay_link",
  "drain_upstream",
  "drop_history",
  "hang_upstream",
  "kill",
  "lose_answers",
  "lose_connections",
  "pause",
  "reload",
  "restart",
  "shed_upstream",
  "silence_link",
  "silence_platform",
  "stop_platform",
] as const;

export type FaultKind = typeof FAULT_KINDS[number];

/** One fault of a plan; times are since the start of the faults. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Position of the VM that it strikes, or of the end that opens connections. */
  readonly vm: number;
  /** Position of another VM. */
  readonly otherVm: number;
}

/** Options of `planFaults`. */
export interface PlanFaultsOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly vmCount: number;
  readonly kinds?: readonly FaultKind[];
}

/** Mean time between two beginnings: faults of 0.2 to 3 s then overlap about half of the time. */
const MEAN_GAP_MS = 900;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 3_000;

/** Share of faults that strike the same VM again soon after, since restarts in series lose other state than one. */
const SERIES_SHARE = 0.3;
const SERIES_GAP_MS = 400;
const SERIES_MAX = 3;

/** Plans the faults of a run; the same seed gives the same plan. */
export function planFaults(
  { seed, durationMs, vmCount, kinds = FAULT_KINDS }: PlanFaultsOptions,
): readonly PlannedFault[] {
  const random = seededRandom(seed);
  const faults: PlannedFault[] = [];
  for (let atMs = gapMs(random); atMs < durationMs; atMs += gapMs(random)) {
    const fault = planFault({ random, vmCount, kinds, atMs });
    faults.push(fault);
    if (random() > SERIES_SHARE) continue;
    const repeats = 1 + Math.floor(random() * SERIES_MAX);
    for (let repeat = 1; repeat <= repeats; repeat += 1) {
      const laterMs = atMs + repeat * (fault.forMs + SERIES_GAP_MS);
      if (laterMs < durationMs) faults.push({ ...fault, atMs: laterMs });
    }
  }
  return faults.toSorted((a, b) => a.atMs - b.atMs);
}

function planFault({ random, vmCount, kinds, atMs }: {
  readonly random: Random;
  readonly vmCount: number;
  readonly kinds: readonly FaultKind[];
  readonly atMs: number;
}): PlannedFault {
  const vm = Math.floor(random() * vmCount);
  const step = 1 + Math.floor(random() * (vmCount - 1));
  return {
    kind: pickOne(kinds, random),
    atMs: Math.round(atMs),
    forMs: Math.round(
      MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS),
    ),
    vm,
    otherVm: (vm + step) % vmCount,
  };
}

function gapMs(random: Random): number {
  return -MEAN_GAP_MS * Math.log(1 - random());
}
