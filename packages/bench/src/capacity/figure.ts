/** Axis along which a figure is fitted. Each result line with the figure has the size on the axis under this key. */
export type Axis =
  | "daemons"
  | "listedVms"
  | "listBytes"
  | "callsPerSecond"
  | "queuedRequests"
  | "connections";

/** A figure of a bench that is fitted along an axis and extrapolated to the size `--at`. */
export interface Figure {
  readonly name: string;
  /** Keys that lead to the value in a result line. */
  readonly path: readonly string[];
  readonly axis: Axis;
}

/** Lists the figures of one axis from their names and their dotted paths, such as `rest.cpuShare.p50`. */
export function figuresAlong(
  axis: Axis,
  pathByName: Readonly<Record<string, string>>,
): readonly Figure[] {
  return Object.entries(pathByName).map(([name, dottedPath]) => ({
    name,
    path: dottedPath.split("."),
    axis,
  }));
}
