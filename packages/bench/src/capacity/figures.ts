import { DISTRIBUTION_FIGURES } from "./distribution_figures.ts";
import type { Figure } from "./figure.ts";
import { SLOPES_FIGURES } from "./slopes_figures.ts";

/** Figures of all benches. */
export const FIGURES: readonly Figure[] = [
  ...DISTRIBUTION_FIGURES,
  ...SLOPES_FIGURES,
];
