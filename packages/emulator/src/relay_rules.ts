/** One end of a link: a VM, the platform, or anything without a known address. */
export interface Endpoint {
  readonly kind: "vm" | "platform" | "outside";
  readonly id: string;
  readonly zone?: string;
}

/** Selects endpoints; a field left out matches any. */
export interface EndpointSelector {
  readonly kind?: Endpoint["kind"];
  readonly id?: string;
  readonly zone?: string;
}

/**
 * What happens to the connections of a link: `pass` forwards their data, `cut` resets them, `silent`
 * holds their data back.
 */
export type LinkAction = "pass" | "cut" | "silent";

/** A rule over the connections that `from` opens to `to`. */
export interface RelayRule {
  readonly from: EndpointSelector;
  readonly to: EndpointSelector;
  /** Also applies to connections that `to` opens to `from`. */
  readonly bothWays?: boolean;
  /** Default `pass`. */
  readonly action?: LinkAction;
  /**
   * For the action `silent`. By default, all data is held back until the rule is removed. With `pass`,
   * new connections work; the data of connections that are open when the rule is added is discarded,
   * even after the rule is removed.
   */
  readonly newConnections?: "silent" | "pass";
  /** Delays the data of each direction, and the opening of the connection to the target. */
  readonly delayMs?: number;
}

/** Combined effect of all rules on a link. */
export interface LinkEffect {
  readonly action: LinkAction;
  readonly delayMs: number;
}

const STRENGTH: Readonly<Record<LinkAction, number>> = {
  pass: 0,
  silent: 1,
  cut: 2,
};

/** The endpoints of a connection, to which rules are applied. */
export interface Link {
  readonly from: Endpoint;
  readonly to: Endpoint;
}

/** Returns whether a rule applies to a link. */
export function ruleMatches(rule: RelayRule, { from, to }: Link): boolean {
  const direct = selects(rule.from, from) && selects(rule.to, to);
  const reverse = rule.bothWays === true && selects(rule.from, to) &&
    selects(rule.to, from);
  return direct || reverse;
}

/** Combines the rules that apply to a link: the strongest action and the sum of the delays. */
export function combineRules(
  rules: Iterable<RelayRule>,
  link: Link,
): LinkEffect {
  let action: LinkAction = "pass";
  let delayMs = 0;
  for (const rule of rules) {
    if (!ruleMatches(rule, link)) continue;
    delayMs += rule.delayMs ?? 0;
    const ruleAction = lastingAction(rule);
    if (STRENGTH[ruleAction] > STRENGTH[action]) action = ruleAction;
  }
  return { action, delayMs };
}

/** A `silent` rule that lets new connections pass acts only once, when it is added. */
function lastingAction(rule: RelayRule): LinkAction {
  if (rule.action === "silent" && rule.newConnections === "pass") return "pass";
  return rule.action ?? "pass";
}

function selects(selector: EndpointSelector, endpoint: Endpoint): boolean {
  if (selector.kind !== undefined && selector.kind !== endpoint.kind) {
    return false;
  }
  if (selector.id !== undefined && selector.id !== endpoint.id) return false;
  return selector.zone === undefined || selector.zone === endpoint.zone;
}
