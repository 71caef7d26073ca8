import { resolve } from "node:path";
import type { RunLoadOptions } from "./load.ts";
import type { CallRecord } from "./load_report.ts";
import { ManagedProcess } from "./managed_process.ts";

/** Options of `runLoad` that can be passed to another process. */
export type LoadProcessOptions = Omit<
  RunLoadOptions,
  "signal" | "onCall" | "executions"
>;

/** Combined result of load processes. */
export interface LoadProcessesResult {
  readonly calls: readonly CallRecord[];
  /** Due requests that were not sent because too many were in flight. */
  readonly notSent: number;
}

/** Lines that `emulator load --options` writes. */
export type LoadProcessLine =
  | { readonly event: "calls"; readonly calls: readonly CallRecord[] }
  | { readonly event: "load_done"; readonly notSent: number };

const PROGRAM = resolve("dist/emulator.cjs");
/**
 * Time that a process has to report its result, beyond the duration and the given deadline. It
 * covers the caller's extra wait for requests still in flight, and the default deadline if none is given.
 */
const END_MARGIN_MS = 15_000;

/**
 * Splits the rate of a load among processes, so that it is not limited by one process. Other options,
 * such as `maxRequests` and `maxInFlight`, apply to each process.
 */
export async function runLoadProcesses(
  options: LoadProcessOptions,
  processes: number,
): Promise<LoadProcessesResult> {
  const results = await Promise.all(
    Array.from({ length: processes }, (_, index) =>
      runLoadProcess({
        ...options,
        ratePerSecond: options.ratePerSecond / processes,
        // Seeds are part of request ids, so no two processes may have the same seed.
        seed: options.seed * processes + index,
      })),
  );
  return {
    calls: results.flatMap(({ calls }) => calls),
    notSent: results.reduce((sum, { notSent }) => sum + notSent, 0),
  };
}

async function runLoadProcess(
  options: LoadProcessOptions,
): Promise<LoadProcessesResult> {
  const calls: CallRecord[] = [];
  const ended = await new Promise<
    { readonly child: ManagedProcess; readonly notSent: number }
  >((resolve, reject) => {
    const timer = setTimeout(() => {
      void child.kill();
      reject(
        new Error(
          `A load process did not report its result in time:\n${
            child.log.lines.join("\n")
          }`,
        ),
      );
    }, options.durationMs + (options.deadlineMs ?? 0) + END_MARGIN_MS);
    const child = new ManagedProcess({
      args: [PROGRAM, "load", "--options", JSON.stringify(options)],
      endWithThisProcess: true,
      onLine: (text) => {
        const line = JSON.parse(text) as LoadProcessLine;
        if (line.event === "calls") return void calls.push(...line.calls);
        clearTimeout(timer);
        resolve({ child, notSent: line.notSent });
      },
    });
  });
  await ended.child.stop();
  return { calls, notSent: ended.notSent };
}
