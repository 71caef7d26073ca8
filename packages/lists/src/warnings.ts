import type { Lists } from "@tanagercove/types";

/** Plans of customers that are missing from `allowances`; requests of these customers are refused. */
export function plansWithoutAllowance(lists: Lists): readonly string[] {
  const assignedPlans = new Set(lists.planByCustomer.values());
  return [...assignedPlans].filter((plan) => !lists.servicesByPlan.has(plan))
    .sort();
}
