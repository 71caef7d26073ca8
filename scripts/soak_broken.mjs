// Usage: node scripts/soak_broken.mjs [BUILD]: checks that the soak detects builds that break a promise.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { buildSidecar } from "./build_sidecar.mjs";
import { buildSoak } from "./soak.mjs";

/**
 * Source changes, each with the promise that it breaks (its name, unless `promise` names it) and the seed with which the
 * soak detects it. `kinds` limits the soak to these kinds of fault.
 */
const BROKEN_BUILDS = {
  runs_at_most_once: {
    file: "packages/sidecar/src/decide_next_step.ts",
    from: 'verdict.kind !== "not_run" && requestClass !== "idempotent"',
    to: "false",
    seed: 1,
  },
  runs_at_most_once_by_newest_version: {
    promise: "runs_at_most_once",
    file: "packages/catalog/src/catalog_sync.ts",
    from: "return this.#platformLostAtMs === undefined &&\n" +
      "      this.#lease.ageMs < configurationApplyMs &&",
    to: "return configurationApplyMs > 0 &&",
    seed: 1,
    kinds: "change_version_unseen,lose_answers",
  },
  process_goes_on: {
    file: "platform/store_client.ts",
    from: "const problem = problemOf(error);",
    to: "process.exit(70);\n    const problem = problemOf(error);",
    seed: 1,
    kinds: "write_malformed_entry",
  },
  arrives_whole: {
    file: "packages/headers/src/field_count.ts",
    from: "ALL_FIELDS = 0",
    to: "ALL_FIELDS = 1_000",
    seed: 1,
  },
  served_beside_foreign_entries: {
    promise: "served_after_faults",
    file: "packages/sidecar/src/own_upstream.ts",
    from: "return isReplaced ? latest : reported ?? latest;",
    to: "return latest;",
    seed: 1,
    kinds: "write_foreign_entries",
  },
  not_run_is_true: {
    file: "packages/sidecar/src/refusals.ts",
    from: "cut: {\n    status: 502,",
    to: "cut: {\n    status: 503,",
    seed: 1,
  },
  not_run_is_true_if_repeated: {
    promise: "not_run_is_true",
    file: "packages/sidecar/src/connection_agent.ts",
    from: "if (ids.has(requestId)) return this.#singleUse;",
    to: "",
    seed: 1,
    kinds: "renew_upstream,shed_upstream",
  },
  not_run_is_true_if_misreported: {
    promise: "not_run_is_true",
    file: "packages/sidecar/src/refusals.ts",
    from:
      'return requestClass === "idempotent" || !NOT_RUN_STATUSES.has(status);',
    to: "return true;",
    seed: 1,
    kinds: "misreport_upstream",
  },
  answer_of_own_request: {
    file: "platform/stand_ins.ts",
    from: "response.end(this.answerBody(requestId));",
    to:
      "response.end(this.answerBody(this.runs[Math.max(0, this.runs.length - 2)].requestId));",
    seed: 1,
  },
  answered_by_deadline: {
    file: "packages/sidecar/src/exchange.ts",
    from: "Math.max(0, options.timeoutMs)",
    to: "Math.max(0, options.timeoutMs) + 4_000",
    seed: 1,
  },
  version_never_goes_back: {
    file: "packages/catalog/src/catalog.ts",
    from: "if (version <= this.version) {",
    to: "if (Math.random() < 0.3 && this.#keptVersions.length > 1) {\n" +
      "      this.#index = computeRouteIndex(this.#keptVersions[0]!);\n" +
      "      this.#keptVersions.length = 1;\n      return;\n    }\n" +
      "    if (version <= this.version) {",
    seed: 3,
  },
  version_in_force: {
    file: "packages/catalog/src/catalog.ts",
    from: "if (version <= this.version) {",
    to: "if (version <= this.version || this.version > 0) {",
    seed: 3,
  },
  leaving_gets_no_work: {
    file: "platform/decode_upstream.ts",
    from: "state: state as UpstreamEntryState",
    to: 'state: "ready"',
    seed: 1,
    kinds: "drain_upstream",
  },
  leaving_notice_is_heeded: {
    file: "platform/wire_headers.ts",
    from: 'leaving: "server-leaving"',
    to: 'leaving: "another-field"',
    seed: 1,
    kinds: "drain_upstream,silence_platform",
  },
  evacuated_gets_no_work: {
    file: "packages/catalog/src/evacuations.ts",
    from: "return this.#zones.get(zone)?.isEvacuated ?? false;",
    to: "return zone === undefined;",
    seed: 1,
    kinds: "evacuate_zone",
  },
  limit_is_kept: {
    file: "platform/wire_headers.ts",
    from: 'limitPerSecond: "server-limit"',
    to: 'limitPerSecond: "another-field"',
    seed: 1,
    kinds: "limit_upstream",
  },
  cold_bound_is_kept: {
    file: "packages/sidecar/src/owner.ts",
    from: "pace: options.coldStarts,",
    to: "",
    seed: 1,
    kinds: "cold_upstream",
  },
  planned_stop_cuts_nothing: {
    file: "packages/sidecar/src/sidecar.ts",
    from: "await whenDrained({",
    to: "process.exit();\n    await whenDrained({",
    seed: 1,
  },
  served_after_faults: {
    file: "packages/soak/src/apply_fault.ts",
    from: "await killed;\n      fleet.launch(daemon);",
    to: "await killed;",
    seed: 1,
  },
};

const only = process.argv[2];
let missed = 0;
for (const [name, patch] of Object.entries(BROKEN_BUILDS)) {
  if (only !== undefined && only !== name) continue;
  const plugins = [createPatchPlugin(patch)];
  await buildSidecar({ outfile: "build/broken/sidecar.cjs", plugins });
  await buildSoak({ outfile: "build/broken/soak.mjs", plugins });
  const { stdout } = spawnSync(process.execPath, [
    "build/broken/soak.mjs",
    "build/broken/sidecar.cjs",
    "--quiet",
    `--seed=${patch.seed}`,
    ...(patch.kinds === undefined ? [] : [`--kinds=${patch.kinds}`]),
  ], { encoding: "utf8" });
  const found = stdout.includes(`  ${patch.promise ?? name}: `);
  console.log(`${name}: ${found ? "found" : "MISSED"}`);
  if (!found) missed += 1;
}
process.exitCode = missed === 0 ? 0 : 1;

/**
 * Creates an esbuild plugin that replaces a text in one source file; the build fails if it includes the file
 * and the text is not there.
 */
function createPatchPlugin({ file, from, to }) {
  return {
    name: "broken-build",
    setup(build) {
      build.onLoad({ filter: /\.ts$/ }, ({ path }) => {
        if (path !== resolve(file)) return undefined;
        const source = readFileSync(path, "utf8");
        if (!source.includes(from)) {
          throw new Error(`no "${from}" in ${file}`);
        }
        return { contents: source.replace(from, () => to), loader: "ts" };
      });
    },
  };
}
