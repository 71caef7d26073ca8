import { type Figure, figuresAlong } from "./figure.ts";

/** Figures of the distribution bench. */
export const DISTRIBUTION_FIGURES: readonly Figure[] = [
  ...figuresAlong("daemons", {
    "control bytes/s at rest, p50": "rest.controlBytesPerSecond.p50",
    "control bytes/s at rest, max": "rest.controlBytesPerSecond.max",
    "processor share at rest, p50": "rest.cpuShare.p50",
    "processor share at rest, max": "rest.cpuShare.max",
    "resident bytes, max": "rest.residentBytes.max",
    "platform calls/s at rest": "rest.platformCallsPerSecond",
    "platform calls a change": "change.platformCallsPerChange",
    "in force p99, ms": "change.inForceMs.p99",
  }),
  ...figuresAlong("listedVms", {
    "resident bytes by listed VMs, max": "rest.residentBytes.max",
  }),
  ...figuresAlong("listBytes", {
    "resident bytes by list size, max": "rest.residentBytes.max",
    "received bytes/s with a change a second by list size, max":
      "change.receivedBytesPerSecond.max",
    "in force p99 by list size, ms": "change.inForceMs.p99",
  }),
];
