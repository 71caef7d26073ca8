export { isIdentifier } from "./entries.ts";
export { validateLists } from "./lists.ts";
export { formatVms, parseVms } from "./vms.ts";
export { plansWithoutAllowance } from "./warnings.ts";
