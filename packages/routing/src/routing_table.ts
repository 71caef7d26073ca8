import { Result } from "true-myth";
import type { Lists, Reason, Vm } from "@tanagercove/types";

/**
 * Routes computed from one revision of the lists and the known VMs. Immutable; a request uses the same table until
 * it ends.
 */
export interface RoutingTable {
  /** Revision of the lists. */
  readonly revision: number;
  readonly lists: Lists;
  /**
   * Live VMs by service. A service that no plan allows or that has no known VMs has no entry; if all its VMs are
   * leaving, its entry is empty.
   */
  readonly vmsByService: ReadonlyMap<string, readonly Vm[]>;
  /** Services that at least one plan allows. */
  readonly services: ReadonlySet<string>;
}

/** Options of `computeRoutingTable`. */
export interface ComputeRoutingTableOptions {
  readonly revision: number;
  readonly lists: Lists;
  readonly vms: readonly Vm[];
}

/**
 * Reasons to refuse a request that follow from the lists and the known VMs. `service_unknown` means that no plan allows
 * the service, `service_not_known` that a plan does but no VM of the service is known.
 */
export type RouteRefusal = Extract<
  Reason,
  | "customer_unknown"
  | "plan_without_allowance"
  | "service_not_allowed"
  | "service_unknown"
  | "service_not_known"
>;

/** Computes the routing table from the lists and `vms`. */
export function computeRoutingTable(
  options: ComputeRoutingTableOptions,
): RoutingTable {
  const services = new Set<string>();
  for (const allowed of options.lists.servicesByPlan.values()) {
    for (const service of allowed) services.add(service);
  }
  const vmsByService = new Map<string, Vm[]>();
  for (const vm of options.vms) {
    if (!services.has(vm.service)) continue;
    const serviceVms = vmsByService.get(vm.service) ?? [];
    if (vm.state === "live") serviceVms.push(vm);
    vmsByService.set(vm.service, serviceVms);
  }
  return {
    revision: options.revision,
    lists: options.lists,
    vmsByService,
    services,
  };
}

/** Options of `resolveRoute`. */
export interface ResolveRouteOptions {
  readonly customer: string;
  readonly service: string;
}

/** Reasons to refuse a request that follow from the lists alone. */
export type AllowanceRefusal = Exclude<RouteRefusal, "service_not_known">;

/** Checks whether the lists allow a customer's request; undefined if they do. */
export function checkAllowance(
  table: RoutingTable,
  { customer, service }: ResolveRouteOptions,
): AllowanceRefusal | undefined {
  const plan = table.lists.planByCustomer.get(customer);
  if (plan === undefined) return "customer_unknown";
  const allowed = table.lists.servicesByPlan.get(plan);
  if (allowed === undefined) return "plan_without_allowance";
  if (allowed.has(service)) return undefined;
  return table.services.has(service)
    ? "service_not_allowed"
    : "service_unknown";
}

/** Finds the live VMs that may serve a customer's request (none if all are leaving), or the reason to refuse it. */
export function resolveRoute(
  table: RoutingTable,
  request: ResolveRouteOptions,
): Result<readonly Vm[], RouteRefusal> {
  const refusal = checkAllowance(table, request);
  if (refusal !== undefined) return Result.err(refusal);
  const vms = table.vmsByService.get(request.service);
  return vms === undefined ? Result.err("service_not_known") : Result.ok(vms);
}
