import type { Lists } from "@tanagercove/types";

/** Plans that customers hold and `allowances` does not have; their customers are refused. */
export function plansWithoutAllowance(lists: Lists): readonly string[] {
  const held = new Set(lists.planByCustomer.values());
  return [...held].filter((plan) => !lists.servicesByPlan.has(plan)).sort();
}
