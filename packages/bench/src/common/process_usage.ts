import { readFileSync } from "node:fs";

/** Processor time and memory of a process, read from /proc. */
export interface ProcessUsage {
  /** User and system time since the process started. */
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Linux reports processor time in ticks of 1/100 s on all common builds. */
const MS_PER_TICK = 10;
const PAGE_BYTES = 4_096;

/** Reads the usage of a process, or undefined when it has ended. */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
  try {
    // The command name in field 2 may contain spaces, so fields are counted from its closing bracket.
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const pages = Number(fields[21]);
    return { cpuMs: ticks * MS_PER_TICK, residentBytes: pages * PAGE_BYTES };
  } catch {
    return undefined;
  }
}
