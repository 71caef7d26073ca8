import { DISTRIBUTION_FIGURES } from "./distribution_figures.ts";
import type { Figure } from "./figure.ts";
import { SLOPES_FIGURES } from "./slopes_figures.ts";

/** Figures that `bench capacity` fits; only the distribution and slopes benches have such figures. */
export const FIGURES: readonly Figure[] = [
  ...DISTRIBUTION_FIGURES,
  ...SLOPES_FIGURES,
];
