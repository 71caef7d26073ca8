/** A figure of the distribution bench that is extrapolated to the size of the fleet. */
export interface Figure {
  readonly name: string;
  /** Where it stands in a result line. */
  readonly path: readonly string[];
  /** Axis along which it is fitted. */
  readonly axis: "daemons" | "listedVms" | "listBytes";
}

/** Figures by the axis along which the bench varies them. */
export const FIGURES: readonly Figure[] = [
  {
    name: "control bytes/s at rest, p50",
    path: ["rest", "controlBytesPerSecond", "p50"],
    axis: "daemons",
  },
  {
    name: "control bytes/s at rest, max",
    path: ["rest", "controlBytesPerSecond", "max"],
    axis: "daemons",
  },
  {
    name: "processor share at rest, p50",
    path: ["rest", "cpuShare", "p50"],
    axis: "daemons",
  },
  {
    name: "processor share at rest, max",
    path: ["rest", "cpuShare", "max"],
    axis: "daemons",
  },
  {
    name: "resident bytes, max",
    path: ["rest", "residentBytes", "max"],
    axis: "daemons",
  },
  {
    name: "platform calls/s at rest",
    path: ["rest", "platformCallsPerSecond"],
    axis: "daemons",
  },
  {
    name: "platform calls a change",
    path: ["change", "platformCallsPerChange"],
    axis: "daemons",
  },
  {
    name: "in force p99, ms",
    path: ["change", "inForceMs", "p99"],
    axis: "daemons",
  },
  {
    name: "resident bytes by listed VMs, max",
    path: ["rest", "residentBytes", "max"],
    axis: "listedVms",
  },
  {
    name: "resident bytes by list size, max",
    path: ["rest", "residentBytes", "max"],
    axis: "listBytes",
  },
  {
    name: "received bytes/s with a change a second by list size, max",
    path: ["change", "receivedBytesPerSecond", "max"],
    axis: "listBytes",
  },
  {
    name: "in force p99 by list size, ms",
    path: ["change", "inForceMs", "p99"],
    axis: "listBytes",
  },
];
