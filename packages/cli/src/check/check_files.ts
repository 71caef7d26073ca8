import { plansWithoutAllowance, validateLists } from "@tanagercove/lists";
import type { ListProblem, Lists } from "@tanagercove/types";

/** A list to check, with the path that its problems name. */
export interface CheckedList {
  readonly path: string;
  readonly text: string;
}

/** The lists to check; either or both may be absent. */
export interface CheckedLists {
  readonly plans?: CheckedList;
  readonly allowances?: CheckedList;
}

/** Problems and warnings as lines `PATH:LINE: MESSAGE`. */
export interface ListsReport {
  readonly problems: readonly string[];
  readonly warnings: readonly string[];
}

/**
 * Checks the lists that are present by the same rules as a daemon. If both are present and valid, also warns about
 * plans that have customers but no entry in the allowances.
 */
export function checkLists({ plans, allowances }: CheckedLists): ListsReport {
  const validated = validateLists({
    plans: plans?.text ?? "",
    allowances: allowances?.text ?? "",
  });
  if (validated.isErr) {
    const paths = { plans: plans?.path, allowances: allowances?.path };
    return {
      problems: sortByLine(validated.error).map(({ location, message }) =>
        `${
          paths[location.list as keyof typeof paths]
        }:${location.line}: ${message}`
      ),
      warnings: [],
    };
  }
  const bothGiven = plans !== undefined && allowances !== undefined;
  return {
    problems: [],
    warnings: bothGiven ? warnAboutPlans(validated.value, plans) : [],
  };
}

function warnAboutPlans(
  lists: Lists,
  { path, text }: CheckedList,
): readonly string[] {
  return plansWithoutAllowance(lists).map((plan) => {
    const customers = [...lists.planByCustomer]
      .filter(([, customerPlan]) => customerPlan === plan)
      .map(([customer]) => customer);
    const line = lineOf(text, customers[0]!);
    return `${path}:${line}: warning: Plan "${plan}" is not in allowances; ` +
      `requests of ${customers.length} customer(s) on it are refused`;
  });
}

/** Returns the line number of a customer's entry, counting from 1. */
function lineOf(text: string, customer: string): number {
  return 1 +
    text.split("\n").findIndex((line) =>
      line.split("=")[0]!.trim() === customer
    );
}

function sortByLine(problems: readonly ListProblem[]): readonly ListProblem[] {
  const rank = ({ location }: ListProblem) => location.list === "plans" ? 0 : 1;
  return [...problems].sort((a, b) =>
    rank(a) - rank(b) || a.location.line - b.location.line
  );
}
