import type { Lists } from "@tanagercove/types";

/** Plans that customers have but `allowances` lacks; requests of these customers are refused. */
export function plansWithoutAllowance(lists: Lists): readonly string[] {
  const assignedPlans = new Set(lists.planByCustomer.values());
  return [...assignedPlans].filter((plan) => !lists.servicesByPlan.has(plan))
    .sort();
}
