import type { ExchangeStep, FailureScope } from "./upstream_control.ts";

/** Options of `PlannedFailures.add`. */
export interface PlanFailureOptions {
  /** What fails; default the connection. */
  readonly scope?: FailureScope;
  /** Number of exchanges that fail; default 1. */
  readonly times?: number;
}

interface PlannedFailure {
  readonly step: ExchangeStep;
  readonly scope: FailureScope;
  remaining: number;
}

/** Failures planned for steps of the next exchanges. */
export class PlannedFailures {
  #failures: PlannedFailure[] = [];

  add(step: ExchangeStep, options: PlanFailureOptions = {}): void {
    const { scope = "connection", times = 1 } = options;
    this.#failures.push({ step, scope, remaining: times });
  }

  /** Step of the first added failure that is planned for one of these steps; undefined if there is none. */
  nextPlannedStep(...steps: readonly ExchangeStep[]): ExchangeStep | undefined {
    return this.#failures.find(({ step }) => steps.includes(step))?.step;
  }

  /** Uses up one failure planned for this step and returns its scope; undefined if there is none. */
  consume(step: ExchangeStep): FailureScope | undefined {
    const failure = this.#failures.find((planned) => planned.step === step);
    if (failure === undefined) return undefined;
    failure.remaining -= 1;
    this.#failures = this.#failures.filter(({ remaining }) => remaining > 0);
    return failure.scope;
  }
}
