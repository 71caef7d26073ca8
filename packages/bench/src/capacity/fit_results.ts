import { fitLine, type LineFit, type Point } from "../common/statistics.ts";
import type { Figure } from "./figure.ts";
import { FIGURES } from "./figures.ts";

/** A result line of a bench. */
export type ResultLine = Readonly<Record<string, unknown>>;

/** A figure fitted over the sizes that were measured. */
export interface FittedFigure {
  readonly variant: string;
  readonly figure: Figure;
  readonly points: readonly Point[];
  readonly fit: LineFit;
}

/** A line through fewer sizes is unreliable. */
const MIN_SIZES = 4;

/** Fits each figure for each variant that was measured at four or more sizes along the figure's axis. */
export function fitResults(
  results: readonly ResultLine[],
): readonly FittedFigure[] {
  const variants = [...new Set(results.map(({ variant }) => String(variant)))];
  return variants.flatMap((variant) =>
    FIGURES.flatMap((figure) => {
      const points = pointsOf(
        results.filter((result) => result.variant === variant),
        figure,
      );
      const sizes = new Set(points.map(({ x }) => x));
      if (sizes.size < MIN_SIZES) return [];
      return [{ variant, figure, points, fit: fitLine(points) }];
    })
  );
}

/** Reads a figure and its axis from each result and skips results that lack one of them. */
function pointsOf(
  results: readonly ResultLine[],
  figure: Figure,
): readonly Point[] {
  return results.flatMap((result) => {
    const x = result[figure.axis];
    const y = figure.path.reduce<unknown>(
      (value, key) => (value as ResultLine | undefined)?.[key],
      result,
    );
    return typeof x === "number" && typeof y === "number" ? [{ x, y }] : [];
  });
}
