import { resolve } from "node:path";
import { ManagedProcess } from "@tanagercove/emulator";
import {
  startBaselineProxy,
  type StartBaselineProxyOptions,
} from "./baseline_proxy.ts";
import {
  type PairResult,
  probePairs,
  type ProbePairsOptions,
} from "./probe_pairs.ts";

/** Parts of the bench that run as separate processes. */
export type WorkerKind = "baseline" | "pairs";

/** Line of JSON that a worker writes when it is ready or done. */
export type WorkerLine =
  | { readonly event: "baseline_ready" }
  | { readonly event: "pairs_done"; readonly results: readonly PairResult[] };

type Workers = Readonly<
  Record<WorkerKind, (json: string) => Promise<void>>
>;

const PROGRAM = resolve("dist/bench.cjs");
const BASELINE_READY_MS = 20_000;
const PAIRS_MARGIN_MS = 20_000;

/** Runs each kind of worker with its options as JSON. */
export const WORKERS: Workers = {
  async baseline(json) {
    await startBaselineProxy(JSON.parse(json) as StartBaselineProxyOptions);
    writeLine({ event: "baseline_ready" });
  },
  async pairs(json) {
    const results = await probePairs(JSON.parse(json) as ProbePairsOptions);
    writeLine({ event: "pairs_done", results });
  },
};

/** Starts a baseline proxy as a process and waits until it listens. */
export async function startBaselineProcess(
  options: StartBaselineProxyOptions,
): Promise<ManagedProcess> {
  const { child } = await startWorker("baseline", {
    options,
    timeoutMs: BASELINE_READY_MS,
  });
  return child;
}

/** Probes pairs in a separate process, so that no other work delays its measurements. */
export async function probePairsInProcess(
  options: ProbePairsOptions,
): Promise<readonly PairResult[]> {
  const { child, line } = await startWorker("pairs", {
    options,
    timeoutMs: options.durationMs + 2 * options.deadlineMs + PAIRS_MARGIN_MS,
  });
  await child.stop();
  return line.event === "pairs_done" ? line.results : [];
}

interface StartWorkerOptions {
  readonly options: unknown;
  readonly timeoutMs: number;
}

function startWorker(
  kind: WorkerKind,
  { options, timeoutMs }: StartWorkerOptions,
): Promise<{ readonly child: ManagedProcess; readonly line: WorkerLine }> {
  return new Promise((resolve, reject) => {
    const child = new ManagedProcess({
      args: [
        PROGRAM,
        "requests",
        "--worker",
        kind,
        "--worker-options",
        JSON.stringify(options),
      ],
      endWithThisProcess: true,
      onLine: (text) => {
        clearTimeout(timer);
        resolve({ child, line: JSON.parse(text) as WorkerLine });
      },
    });
    const timer = setTimeout(() => {
      void child.kill();
      const output = child.log.lines.join("\n");
      reject(
        new Error(
          `Worker "${kind}" reported nothing before its timeout; its log:\n${output}`,
        ),
      );
    }, timeoutMs);
  });
}

function writeLine(line: WorkerLine): void {
  console.log(JSON.stringify(line));
}
