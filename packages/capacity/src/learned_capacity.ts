import type { MeasuredRun, UpstreamCapacity } from "@tanagercove/admission";
import { ConcurrencyLimit, type LimitChange } from "./concurrency_limit.ts";
import { decodeHostLoad } from "./decode_host_load.ts";
import { UsualTimes } from "./usual_times.ts";
import { WorkRate } from "./work_rate.ts";

/** Options of `LearnedCapacity`. */
export interface LearnedCapacityOptions {
  readonly slots: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
  /** Called when what is learnt comes into force. */
  readonly onInForce?: (() => void) | undefined;
  /** Called with each change of the limit, while it is in force. */
  readonly onLimitChanged?: ((change: LimitChange) => void) | undefined;
}

/** What was learnt of an upstream, for operators. */
export interface CapacityStatus {
  /** Whether what was learnt is in force. */
  readonly isInForce: boolean;
  readonly concurrencyLimit: number;
  readonly slots: number;
  readonly workRate: number;
  /** How far the host's own figure is followed, 0 to 1, and the average time between its changes. */
  readonly toldTrust: number;
  readonly toldChangeMs: number;
  readonly unreadableFields: number;
  readonly lastChange: LimitChange;
}

/**
 * Learns at an upstream's owner daemon how many requests the upstream runs well at once, and how fast it works now.
 *
 * It is in force for an upstream that tells how long work takes on its host, as such an upstream shares its host with
 * others. For any other one, the limit is the slots and the work rate 1.
 */
export class LearnedCapacity implements UpstreamCapacity {
  readonly #nowMs: () => number;
  readonly #onInForce: () => void;
  readonly #onLimitChanged: (change: LimitChange) => void;
  readonly #limit: ConcurrencyLimit;
  readonly #rate: WorkRate;
  readonly #usualWork = new UsualTimes();
  readonly #usualHeld = new UsualTimes();
  #slots: number;
  #unreadableFields = 0;

  constructor(options: LearnedCapacityOptions) {
    const { slots, nowMs = () => performance.now() } = options;
    this.#nowMs = nowMs;
    this.#onInForce = options.onInForce ?? (() => {});
    this.#onLimitChanged = options.onLimitChanged ?? (() => {});
    this.#slots = slots;
    this.#limit = new ConcurrencyLimit({ slots, nowMs });
    this.#rate = new WorkRate({ nowMs });
  }

  get isInForce(): boolean {
    return this.#rate.isTold;
  }

  get concurrencyLimit(): number {
    return this.isInForce ? this.#limit.limit : this.#slots;
  }

  get workRate(): number {
    return this.isInForce ? this.#rate.rate : 1;
  }

  get status(): CapacityStatus {
    return {
      isInForce: this.isInForce,
      concurrencyLimit: this.concurrencyLimit,
      slots: this.#slots,
      workRate: this.workRate,
      toldTrust: this.#rate.trust,
      toldChangeMs: this.#rate.changeMs,
      unreadableFields: this.#unreadableFields,
      lastChange: this.#limit.lastChange,
    };
  }

  setSlots(slots: number): void {
    this.#slots = slots;
    this.#notifyChange(() => this.#limit.setSlots(slots));
  }

  /** Records the field in which the upstream tells its load; counts one that cannot be read. */
  recordField(field: string | readonly string[] | undefined): void {
    if (field === undefined || hasThreeFigures(field)) return;
    const load = decodeHostLoad(field);
    if (load === undefined) this.#unreadableFields += 1;
    else if (load.workTimeFactor !== undefined) {
      const wasInForce = this.isInForce;
      this.#rate.recordTold(load.workTimeFactor);
      if (!wasInForce) this.#onInForce();
    }
  }

  recordRun(
    { route, serviceMs, ownCallsMs = 0, concurrency }: MeasuredRun,
  ): void {
    if (!this.isInForce) return;
    const startedAtMs = this.#nowMs() - serviceMs;
    const toldLog = this.#rate.toldLogFactorSince(startedAtMs);
    const workMs = serviceMs - ownCallsMs;
    const deviationLog = this.#usualWork.record(route, {
      workMs,
      expectedLogFactor: toldLog,
    });
    const toldHeldLog = toldLog * workMs / serviceMs;
    const heldLog = this.#usualHeld.record(route, {
      workMs: serviceMs,
      expectedLogFactor: toldHeldLog,
    });
    if (deviationLog === undefined || heldLog === undefined) return;
    this.#rate.recordRun({ startedAtMs, deviationLog });
    this.#notifyChange(() =>
      this.#limit.record({
        startedAtMs,
        concurrency,
        slowdownLog: deviationLog - toldLog,
        heldLog: heldLog - toldHeldLog,
      })
    );
  }

  /** Time by which a request of a route takes longer at the present speed than usual; negative if it takes less. */
  extraMs(route: string): number {
    if (!this.isInForce) return 0;
    const usualMs = this.#usualWork.usualMs(route) ?? 0;
    return usualMs * (1 / this.#rate.rate - 1);
  }

  #notifyChange(act: () => void): void {
    const { lastChange } = this.#limit;
    act();
    if (this.isInForce && this.#limit.lastChange !== lastChange) {
      this.#onLimitChanged(this.#limit.lastChange);
    }
  }
}

/** Whether a field has two commas only; such a field, without the work time, is not read. */
function hasThreeFigures(field: string | readonly string[]): boolean {
  const second = typeof field === "string"
    ? field.indexOf(",", field.indexOf(",") + 1)
    : -1;
  return second >= 0 && field.indexOf(",", second + 1) < 0;
}
