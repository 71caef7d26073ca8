import {
  type Percentiles,
  percentilesOf,
  round,
} from "../common/statistics.ts";
import { ADDED_P99_MAX_MS, type BarResult, judge, notShown } from "./bars.ts";
import {
  type CallShares,
  divideTime,
  overheadMs,
  SHARES,
  type TimedCall,
} from "./call_timing.ts";
import type { PairResult } from "./probe_pairs.ts";

/** With fewer pairs, fewer than 5 values lie above the 99th percentile. */
const MIN_PAIRS = 500;
/** Number of pairs that are printed with all shares: those with the most added time. */
const SLOW_PAIRS = 20;
const PAUSE_NAME = /_(loop|gc|cpuwait)$/;

/** A pair of which all calls were answered. */
interface CompletePair {
  readonly direct: TimedCall;
  readonly daemon: TimedCall;
  readonly control: TimedCall;
  readonly sentLateMs: number;
  readonly loopMs: number;
}

/**
 * Figures computed from the pairs, in milliseconds. Pairs of which not all calls were answered count only in `pairs`
 * and `pairsNotAnswered`.
 */
export interface PairsSummary {
  readonly pairs: number;
  readonly pairsNotAnswered: number;
  readonly directMs: Percentiles;
  readonly daemonMs: Percentiles;
  /** Latency through the daemons minus that of the direct call of the same pair. */
  readonly rawDifferenceMs: Percentiles;
  /** `rawDifferenceMs` without waits for slots and the upstream's work. The bar is judged by this value. */
  readonly addedMs: Percentiles;
  /** Like `addedMs`, but between the two direct calls of a pair. No daemon adds time to them, so this is noise. */
  readonly controlMs: Percentiles;
  /** How the time of the calls through the daemons divides into shares. */
  readonly shares: Readonly<Record<string, Percentiles>>;
  /** Delay of the prober against the due times. */
  readonly sentLateMs: Percentiles;
  /** Longest event loop delays: the prober's since the previous pair, a daemon's since its previous timed call. */
  readonly loopMs: Readonly<Record<"prober" | "caller" | "owner", Percentiles>>;
  /** Garbage collection time of a daemon since its previous timed call. */
  readonly gcMs: Readonly<Record<"caller" | "owner", Percentiles>>;
  /** Time that a daemon was ready to run but had no processor, since its previous timed call. */
  readonly processorWaitMs: Readonly<Record<"caller" | "owner", Percentiles>>;
  readonly slowPairs: readonly SlowPair[];
  readonly bars: readonly BarResult[];
}

/** How the time of a slow pair divides into shares. */
export interface SlowPair {
  readonly addedMs: number;
  readonly proberLoopMs: number;
  /** Pauses of the daemons, each since the daemon's previous timed call. */
  readonly pauses: Readonly<Record<string, number>>;
  readonly direct: CallShares;
  readonly daemon: CallShares;
}

/** Summarizes pairs and judges the time that the daemons add. */
export function summarizePairs(
  results: readonly PairResult[],
  limits: readonly string[],
): PairsSummary {
  const pairs = results.flatMap(({ calls, sentLateMs, loopMs }) => {
    const { direct, daemon, control } = calls;
    if (!direct || !daemon || !control) return [];
    return [{ direct, daemon, control, sentLateMs, loopMs }];
  });
  const percentilesBy = (value: (pair: CompletePair) => number) =>
    percentilesOf(pairs.map(value));
  const partPercentiles = (name: string) =>
    percentilesBy(({ daemon }) => daemon.parts[name] ?? 0);
  const addedMs = percentilesBy(addedMsOf);
  const controlMs = percentilesBy(({ control, direct }) =>
    overheadMs(control) - overheadMs(direct)
  );
  return {
    pairs: results.length,
    pairsNotAnswered: results.length - pairs.length,
    directMs: percentilesBy(({ direct }) => direct.latencyMs),
    daemonMs: percentilesBy(({ daemon }) => daemon.latencyMs),
    rawDifferenceMs: percentilesBy(({ daemon, direct }) =>
      daemon.latencyMs - direct.latencyMs
    ),
    addedMs,
    controlMs,
    shares: Object.fromEntries(
      SHARES.map((
        share,
      ) => [share, percentilesBy(({ daemon }) => divideTime(daemon)[share])]),
    ),
    sentLateMs: percentilesBy(({ sentLateMs }) => sentLateMs),
    loopMs: {
      prober: percentilesBy(({ loopMs }) => loopMs),
      caller: partPercentiles("caller_loop"),
      owner: partPercentiles("owner_loop"),
    },
    gcMs: {
      caller: partPercentiles("caller_gc"),
      owner: partPercentiles("owner_gc"),
    },
    processorWaitMs: {
      caller: partPercentiles("caller_cpuwait"),
      owner: partPercentiles("owner_cpuwait"),
    },
    slowPairs: [...pairs].sort((a, b) => addedMsOf(b) - addedMsOf(a))
      .slice(0, SLOW_PAIRS).map(summarizeSlowPair),
    bars: [judgeAdded({ pairs: pairs.length, addedMs, controlMs, limits })],
  };
}

/** Time that the daemons add to one pair, in milliseconds. */
function addedMsOf({ daemon, direct }: CompletePair): number {
  return overheadMs(daemon) - overheadMs(direct);
}

function judgeAdded({ pairs, addedMs, controlMs, limits }: {
  readonly pairs: number;
  readonly addedMs: Percentiles;
  readonly controlMs: Percentiles;
  readonly limits: readonly string[];
}): BarResult {
  const bar =
    `p99 of the time added within pairs at half capacity <= ${ADDED_P99_MAX_MS} ms; measured ${addedMs.p99} ms`;
  if (pairs < MIN_PAIRS) return notShown(bar, `${pairs} pairs`);
  // If two direct calls differ by more than the bar, noise hides the time that the daemons add.
  if (controlMs.p99 > ADDED_P99_MAX_MS) {
    return notShown(bar, `two direct calls differ by ${controlMs.p99} ms`);
  }
  return limits.length > 0
    ? notShown(bar, limits.join("; "))
    : judge(bar, addedMs.p99 <= ADDED_P99_MAX_MS);
}

function summarizeSlowPair(pair: CompletePair): SlowPair {
  const { parts } = pair.daemon;
  const rounded = (shares: CallShares) =>
    Object.fromEntries(
      Object.entries(shares).map(([name, ms]) => [name, round(ms)]),
    ) as CallShares;
  return {
    addedMs: round(addedMsOf(pair)),
    proberLoopMs: round(pair.loopMs),
    pauses: Object.fromEntries(
      Object.entries(parts).filter(([name]) => PAUSE_NAME.test(name)),
    ),
    direct: rounded(divideTime(pair.direct)),
    daemon: rounded(divideTime(pair.daemon)),
  };
}
