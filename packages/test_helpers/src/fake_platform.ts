import { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { Clock } from "@tanagercove/membership";
import type { PlatformIndex, PlatformPort } from "@tanagercove/platform";
import type { PlatformKey } from "@tanagercove/types";

/**
 * How the platform answers: `normal` from its state, `stale` from the state at the start of this mode; in
 * `outage`, new calls fail.
 */
export type FakePlatformMode = "normal" | "stale" | "outage";

interface State {
  readonly index: PlatformIndex;
  readonly values: Readonly<Record<PlatformKey, string>>;
}

const EMPTY: State = {
  index: { revision: 1, keys: { plans: 1, allowances: 1, vms: 1 } },
  values: { plans: "", allowances: "", vms: "" },
};

/** In-memory platform that runs on the clock of a test. */
export class FakePlatform {
  calls = 0;
  /** Called before each read of a value; lets a test publish an edit during a read. */
  beforeRead: (key: PlatformKey) => void = () => {};
  readonly #clock: Clock;
  #state = EMPTY;
  #stale = EMPTY;
  #mode: FakePlatformMode = "normal";
  #changed = new AbortController();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get revision(): number {
    return this.#state.index.revision;
  }

  publish(key: PlatformKey, value: string): number {
    const revision = this.revision + 1;
    const keys = { ...this.#state.index.keys, [key]: revision };
    const values = { ...this.#state.values, [key]: value };
    this.#state = { index: { revision, keys }, values };
    this.#wake();
    return revision;
  }

  setMode(mode: FakePlatformMode): void {
    this.#stale = this.#state;
    this.#mode = mode;
    this.#wake();
  }

  /** The platform as one daemon sees it; calls fail while `isReachable` returns false. */
  port(isReachable: () => boolean = () => true): PlatformPort {
    const recordCall = (): Result<never, PlatformError> | undefined => {
      this.calls += 1;
      if (!isReachable()) {
        return Result.err({ kind: "unreachable", message: "cut off" });
      }
      return this.#mode === "outage"
        ? Result.err({ kind: "unavailable", status: 503 })
        : undefined;
    };
    return {
      watchIndex: async ({ afterRevision, waitMs, signal }) => {
        const failure = recordCall();
        if (failure !== undefined) return failure;
        const untilMs = this.#clock.nowMs() + waitMs;
        while (this.#visible().index.revision <= afterRevision) {
          const leftMs = untilMs - this.#clock.nowMs();
          if (leftMs <= 0 || signal?.aborted) break;
          const signals = [this.#changed.signal, ...(signal ? [signal] : [])];
          await this.#clock.sleep(leftMs, AbortSignal.any(signals));
        }
        return Result.ok(this.#visible().index);
      },
      readValue: (key) => {
        const failure = recordCall();
        if (failure !== undefined) return Promise.resolve(failure);
        this.beforeRead(key);
        const { index, values } = this.#visible();
        const revision = index.keys[key];
        return Promise.resolve(
          Result.ok({ key, revision, value: values[key] }),
        );
      },
      close: () => Promise.resolve(),
    };
  }

  #visible(): State {
    return this.#mode === "stale" ? this.#stale : this.#state;
  }

  #wake(): void {
    const changed = this.#changed;
    this.#changed = new AbortController();
    changed.abort();
  }
}
