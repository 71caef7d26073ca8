/** Axis along which a figure is fitted: a number in each result line. */
export type Axis =
  | "daemons"
  | "listedVms"
  | "listBytes"
  | "callsPerSecond"
  | "queuedRequests"
  | "connections";

/** A figure of a bench that is extrapolated to the size of the fleet. */
export interface Figure {
  readonly name: string;
  /** Where it stands in a result line. */
  readonly path: readonly string[];
  readonly axis: Axis;
}

/** Lists the figures of one axis from their names and their places, such as `rest.cpuShare.p50`. */
export function figuresAlong(
  axis: Axis,
  placeByName: Readonly<Record<string, string>>,
): readonly Figure[] {
  return Object.entries(placeByName).map(([name, place]) => ({
    name,
    path: place.split("."),
    axis,
  }));
}
