import type { StatusReport } from "./judge_status.ts";

const HASH_LENGTH = 8;
/** A longer list would push the rest of the status off the screen; `--json` has all entries. */
const MAX_ENTRIES = 20;

/** Formats the report as lines for a terminal. */
export function renderStatus(report: StatusReport): readonly string[] {
  const { newest_revision: newest, daemons_known: known } = report;
  const versions = report.versions.map(({ revision, hash, zone, daemons }) => [
    String(revision ?? "none"),
    (hash ?? "").slice(0, HASH_LENGTH),
    zone,
    String(daemons),
  ]);
  return [
    newest === undefined
      ? `No version in force; ${known} daemons known to ${report.asked_by}`
      : `Revision ${newest} in force on ${report.newest_in_force_on} of ${known} daemons known to ${report.asked_by}`,
    "",
    ...formatTable([["REVISION", "HASH", "ZONE", "DAEMONS"], ...versions]),
    ...formatSection("Daemons with a problem", {
      entries: report.findings.map(({ zone, vm_id, reason }) =>
        `${zone} ${vm_id}: ${reason}`
      ),
    }),
    ...formatSection("Refused versions", {
      entries: report.refused.map(({ revision, daemons, reason }) =>
        `revision ${revision} on ${daemons} daemons: ${reason}`
      ),
    }),
    ...formatSection("Daemons missing from this answer", {
      entries: report.missing.map((daemon) =>
        `${daemon.zone} ${daemon.vm_id} ${daemon.address}:${daemon.peer_port}: ${daemon.reason}`
      ),
    }),
  ].map(withoutControlCharacters);
}

function formatSection(
  title: string,
  { entries }: { readonly entries: readonly string[] },
): readonly string[] {
  if (entries.length === 0) return [];
  const hidden = entries.length - MAX_ENTRIES;
  return [
    "",
    `${title} (${entries.length}):`,
    ...entries.slice(0, MAX_ENTRIES).map((entry) => `  ${entry}`),
    ...(hidden > 0 ? [`  and ${hidden} more; see --json`] : []),
  ];
}

function formatTable(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  );
}

/** Replaces control characters, since text from other daemons could hold terminal escape sequences. */
function withoutControlCharacters(line: string): string {
  return line.replace(/\p{Cc}/gu, "?");
}
