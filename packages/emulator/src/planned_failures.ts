import type { DeathScope, ExchangeStep } from "./upstream_control.ts";

/** Options of `PlannedFailures.add`. */
export interface PlanFailureOptions {
  /** What dies; default the connection. */
  readonly scope?: DeathScope;
  /** Number of exchanges that fail; default 1. */
  readonly times?: number;
}

interface PlannedFailure {
  readonly step: ExchangeStep;
  readonly scope: DeathScope;
  remaining: number;
}

/** Deaths that were ordered for steps of the next exchanges. */
export class PlannedFailures {
  #failures: PlannedFailure[] = [];

  add(step: ExchangeStep, options: PlanFailureOptions = {}): void {
    const { scope = "connection", times = 1 } = options;
    this.#failures.push({ step, scope, remaining: times });
  }

  /** The first of these steps for which a failure is planned. */
  nextOf(...steps: readonly ExchangeStep[]): ExchangeStep | undefined {
    return this.#failures.find(({ step }) => steps.includes(step))?.step;
  }

  /** Counts a failure at this step and tells what dies; undefined where none is planned. */
  take(step: ExchangeStep): DeathScope | undefined {
    const failure = this.#failures.find((planned) => planned.step === step);
    if (failure === undefined) return undefined;
    failure.remaining -= 1;
    this.#failures = this.#failures.filter(({ remaining }) => remaining > 0);
    return failure.scope;
  }
}
