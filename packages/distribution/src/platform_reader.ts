import { setTimeout as sleep } from "node:timers/promises";
import { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { PlatformIndex, PlatformPort } from "@tanagercove/platform";
import type { PlatformKey, Snapshot } from "@tanagercove/types";
import { makeSnapshot, type SnapshotStore } from "@tanagercove/versions";

/** Options of `PlatformReader`. */
export interface PlatformReaderOptions {
  readonly platform: PlatformPort;
  readonly lists: SnapshotStore<"lists">;
  readonly vms: SnapshotStore<"vms">;
  readonly waitMs?: number;
  readonly retryMs?: number;
}

/** An edit was published between the index and the read of a value. */
type ReadError = PlatformError | { readonly kind: "crossed" };

/** Watches the platform and offers each new version to the stores. */
export class PlatformReader {
  readonly #options: PlatformReaderOptions;
  readonly #stop = new AbortController();
  #task: Promise<void> | undefined;

  constructor(options: PlatformReaderOptions) {
    this.#options = options;
  }

  start(): void {
    this.#task = this.#run();
  }

  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const signal = this.#stop.signal;
    let afterRevision = 0;
    while (!signal.aborted) {
      const index = await this.#options.platform.watchIndex({
        afterRevision,
        waitMs: this.#options.waitMs ?? 1_500,
        signal,
      });
      const read = index.isOk ? await this.#read(index.value) : index;
      if (read.isOk) afterRevision = read.value;
      else {await sleep(this.#options.retryMs ?? 250, undefined, { signal })
          .catch(() => {});}
    }
  }

  async #read(index: PlatformIndex): Promise<Result<number, ReadError>> {
    const { lists, vms } = this.#options;
    const listsRevision = Math.max(index.keys.plans, index.keys.allowances);
    if (listsRevision > (lists.held?.revision ?? 0)) {
      const snapshot = await this.#readLists(index);
      if (snapshot.isErr) return Result.err(snapshot.error);
      lists.offer(snapshot.value);
    }
    if (index.keys.vms > (vms.held?.revision ?? 0)) {
      const text = await this.#readValue("vms", index);
      if (text.isErr) return Result.err(text.error);
      vms.offer(
        makeSnapshot({
          kind: "vms",
          revision: index.keys.vms,
          texts: { vms: text.value },
        }),
      );
    }
    return Result.ok(index.revision);
  }

  async #readLists(
    index: PlatformIndex,
  ): Promise<Result<Snapshot<"lists">, ReadError>> {
    const plans = await this.#readValue("plans", index);
    if (plans.isErr) return Result.err(plans.error);
    const allowances = await this.#readValue("allowances", index);
    if (allowances.isErr) return Result.err(allowances.error);
    return Result.ok(makeSnapshot({
      kind: "lists",
      revision: Math.max(index.keys.plans, index.keys.allowances),
      texts: { plans: plans.value, allowances: allowances.value },
    }));
  }

  async #readValue(
    key: PlatformKey,
    index: PlatformIndex,
  ): Promise<Result<string, ReadError>> {
    const value = await this.#options.platform.readValue(key);
    if (value.isErr) return Result.err(value.error);
    if (value.value.revision !== index.keys[key]) {
      return Result.err({ kind: "crossed" });
    }
    return Result.ok(value.value.value);
  }
}
