import { Result } from "true-myth";
import type { ListProblem, Lists, SnapshotTexts } from "@tanagercove/types";
import { isIdentifier, parseEntries } from "./entries.ts";

/**
 * Validates the lists `plans` and `allowances`. The result depends only on their texts, so that it is the same on every
 * daemon. A plan that is missing from `allowances` is no problem here; see `plansWithoutAllowance`.
 */
export function validateLists(
  texts: SnapshotTexts["lists"],
): Result<Lists, readonly ListProblem[]> {
  const plans = parseEntries("plans", texts.plans);
  const allowances = parseEntries("allowances", texts.allowances);
  const problems: ListProblem[] = [...plans.problems, ...allowances.problems];

  const planByCustomer = new Map<string, string>();
  for (const { key, value, line } of plans.entries) {
    if (!isIdentifier(value)) {
      problems.push({
        location: { list: "plans", line },
        message: `Plan "${
          value.slice(0, 80)
        }" is no identifier: expected [a-z0-9][a-z0-9_.-]{0,62}`,
      });
    }
    planByCustomer.set(key, value);
  }

  const servicesByPlan = new Map<string, ReadonlySet<string>>();
  for (const { key, value, line } of allowances.entries) {
    const services = value === ""
      ? []
      : value.split(",").map((word) => word.trim());
    for (const service of services.filter((word) => !isIdentifier(word))) {
      problems.push({
        location: { list: "allowances", line },
        message: `Service "${
          service.slice(0, 80)
        }" is no identifier: expected [a-z0-9][a-z0-9_.-]{0,62}`,
      });
    }
    servicesByPlan.set(key, new Set(services));
  }

  return problems.length > 0
    ? Result.err(problems)
    : Result.ok({ planByCustomer, servicesByPlan });
}
