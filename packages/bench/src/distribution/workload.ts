import type { Vm } from "@tanagercove/types";
import type { Random } from "../common/random.ts";

const PLANS = ["basic", "standard", "full"];
const SERVICES = ["swatches", "reservations", "fittings", "venues"];

/** Services of the bench's lists and VMs. */
export const BENCH_SERVICES: readonly string[] = SERVICES;

/** A list of plans in which one customer at a time changes its plan, as operators edit it. */
export class PlansWorkload {
  readonly #planByCustomer: string[];
  readonly #random: Random;

  constructor(customers: number, random: Random) {
    this.#random = random;
    this.#planByCustomer = Array.from(
      { length: customers },
      () => this.#pickPlan(),
    );
  }

  /** The list as text. */
  text(): string {
    return this.#planByCustomer.map((plan, index) =>
      `customer-${String(index).padStart(6, "0")} = ${plan}\n`
    ).join("");
  }

  /** Moves one customer to another plan. */
  changeOneCustomer(): void {
    const index = Math.floor(this.#random() * this.#planByCustomer.length);
    const before = this.#planByCustomer[index];
    const others = PLANS.filter((plan) => plan !== before);
    this.#planByCustomer[index] =
      others[Math.floor(this.#random() * others.length)]!;
  }

  #pickPlan(): string {
    return PLANS[Math.floor(this.#random() * PLANS.length)]!;
  }
}

/** List of allowances of every run. */
export const BENCH_ALLOWANCES = [
  "basic = swatches, venues",
  "standard = swatches, venues, reservations",
  "full = swatches, venues, reservations, fittings",
  "",
].join("\n");

/** VMs that are in the VM list but have no process; marked as leaving so that no daemon calls them. */
export function makeListedVms(count: number): readonly Vm[] {
  return Array.from({ length: count }, (_, index): Vm => ({
    id: `listed-${index + 1}`,
    service: SERVICES[index % SERVICES.length]!,
    zone: `listed-zone-${index % 12 + 1}`,
    region: `region-${index % 4 + 1}`,
    address: `127.200.${Math.floor(index / 250)}.${index % 250 + 1}`,
    callerPort: 8_080,
    peerPort: 8_081,
    upstreamPort: 8_082,
    state: "leaving",
  }));
}
