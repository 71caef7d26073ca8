import { pickOne, type Random, seededRandom } from "@tanagercove/emulator";

/** Kinds of fault; `applyFault` has a handler for each. */
export const FAULT_KINDS = [
  "change_version",
  "change_version_unseen",
  "cold_upstream",
  "cut_link",
  "cut_one_way",
  "cut_zone",
  "delay_link",
  "drain_upstream",
  "drop_history",
  "evacuate_zone",
  "hang_upstream",
  "kill",
  "limit_upstream",
  "lose_answers",
  "lose_connections",
  "misreport_upstream",
  "pause",
  "reload",
  "renew_upstream",
  "restart",
  "return_older_store",
  "shed_upstream",
  "silence_link",
  "silence_platform",
  "stop_platform",
  "write_foreign_entries",
  "write_malformed_entry",
] as const;

export type FaultKind = typeof FAULT_KINDS[number];

/** One fault of a plan; `atMs` is relative to the start of the fault injection. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /**
   * Index of the affected VM. For a link fault in one direction, it is the VM that opens the connections; for
   * `cut_zone` and `evacuate_zone`, any VM of the zone. changes of the version, entries of another writer and faults of the
   * platform do not use it.
   */
  readonly vm: number;
  /** Index of the VM at the other end of a link fault. */
  readonly otherVm: number;
}

/** Options of `planFaults`. */
export interface PlanFaultsOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly vmCount: number;
  readonly kinds?: readonly FaultKind[];
}

/**
 * Mean time between the starts of two faults, not counting repeats; faults of 0.2 to 3 s then overlap about
 * half of the time.
 */
const MEAN_GAP_MS = 900;

/** Kinds that are planned apart from the others, whose plan for a seed thus stays the same. */
interface SeparatePlan {
  readonly kinds: readonly FaultKind[];
  readonly meanGapMs: number;
}

const SEPARATE_PLANS: readonly SeparatePlan[] = [
  // They last longer than the others.
  { kinds: ["limit_upstream"], meanGapMs: 4_000 },
  { kinds: ["cold_upstream"], meanGapMs: 3_000 },
  { kinds: ["misreport_upstream", "renew_upstream"], meanGapMs: 1_500 },
  { kinds: ["evacuate_zone", "return_older_store"], meanGapMs: 3_000 },
  { kinds: ["write_malformed_entry"], meanGapMs: 4_000 },
  { kinds: ["write_foreign_entries"], meanGapMs: 4_000 },
  { kinds: ["change_version_unseen"], meanGapMs: 6_000 },
];

const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 3_000;

/**
 * Share of faults that are repeated on the same VM soon after, since a series of restarts can lose state that
 * a single restart keeps.
 */
const REPEATED_SHARE = 0.3;
const REPEAT_GAP_MS = 400;
const MAX_REPEATS = 3;

/** Plans the faults of a run; the same seed gives the same plan. */
export function planFaults(
  { kinds = FAULT_KINDS, ...options }: PlanFaultsOptions,
): readonly PlannedFault[] {
  const separate = SEPARATE_PLANS.flatMap((plan) => plan.kinds);
  const others = kinds.filter((kind) => !separate.includes(kind));
  const plans = [{ kinds: others, meanGapMs: MEAN_GAP_MS }, ...SEPARATE_PLANS];
  const faults = plans.flatMap((plan) =>
    planKinds({
      ...options,
      kinds: plan.kinds.filter((kind) => kinds.includes(kind)),
      meanGapMs: plan.meanGapMs,
    })
  );
  return faults.toSorted((a, b) => a.atMs - b.atMs);
}

interface PlanKindsOptions extends Required<PlanFaultsOptions> {
  readonly meanGapMs: number;
}

function planKinds(
  { seed, durationMs, vmCount, kinds, meanGapMs }: PlanKindsOptions,
): readonly PlannedFault[] {
  if (kinds.length === 0) return [];
  const random = seededRandom(seed);
  const randomGapMs = () => -meanGapMs * Math.log(1 - random());
  const faults: PlannedFault[] = [];
  for (let atMs = randomGapMs(); atMs < durationMs; atMs += randomGapMs()) {
    const fault = planFault({ random, vmCount, kinds, atMs });
    faults.push(fault);
    if (random() > REPEATED_SHARE) continue;
    const repeats = 1 + Math.floor(random() * MAX_REPEATS);
    for (let repeat = 1; repeat <= repeats; repeat += 1) {
      const laterMs = atMs + repeat * (fault.forMs + REPEAT_GAP_MS);
      if (laterMs < durationMs) faults.push({ ...fault, atMs: laterMs });
    }
  }
  return faults;
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
