/** Durations in milliseconds, by the names under which daemons and upstreams report them. */
export type TimingParts = Readonly<Record<string, number>>;

/** One call of a pair (see `probePairs`), with the durations that daemons and the upstream reported. */
export interface TimedCall {
  readonly latencyMs: number;
  readonly parts: TimingParts;
}

/** Shares of a call's time, in the order in which the request passes through them. */
export const SHARES = [
  "callerHop",
  "callerDaemon",
  "ownerConnect",
  "ownerHop",
  "ownerQueue",
  "ownerDaemon",
  "upstreamConnect",
  "upstreamHop",
  "upstreamWait",
  "upstreamService",
] as const;

/** Share of a call's time. */
export type Share = typeof SHARES[number];

/** How the time of a call divides, in milliseconds; the shares add up to the latency. */
export type CallShares = Readonly<Record<Share, number>>;

/** Parses the `server-timing` headers of an answer. */
export function parseTiming(field: string | readonly string[]): TimingParts {
  const entries = [field].flat().flatMap((header) => header.split(","));
  return Object.fromEntries(entries.map((entry) => {
    const [name, duration] = entry.trim().split(";dur=");
    return [name, Number(duration)];
  }));
}

/** Divides the time of a call into shares; a hop is the time that neither of its two ends accounts for. */
export function divideTime({ latencyMs, parts }: TimedCall): CallShares {
  const part = (name: string) => parts[name] ?? 0;
  const exchange = (side: string) =>
    part(`${side}_head`) + part(`${side}_body`);
  const upstream = part("upstream_wait") + part("upstream_service");
  const throughOwner = parts.owner_total !== undefined;
  const throughCaller = parts.caller_total !== undefined;
  const ownerTotal = throughOwner ? part("owner_total") : upstream;
  const callerTotal = throughCaller ? part("caller_total") : ownerTotal;
  return {
    callerHop: latencyMs - callerTotal,
    callerDaemon: throughCaller
      ? callerTotal - part("caller_connect") - exchange("caller")
      : 0,
    ownerConnect: throughOwner ? part("caller_connect") : 0,
    ownerHop: throughOwner ? exchange("caller") - ownerTotal : 0,
    ownerQueue: part("owner_queue"),
    ownerDaemon: throughOwner
      ? ownerTotal - part("owner_queue") - part("owner_connect") -
        exchange("owner")
      : 0,
    upstreamConnect: part(throughOwner ? "owner_connect" : "caller_connect"),
    upstreamHop: throughCaller
      ? exchange(throughOwner ? "owner" : "caller") - upstream
      : 0,
    upstreamWait: part("upstream_wait"),
    upstreamService: part("upstream_service"),
  };
}

/**
 * Time of a call without the waits for slots and the upstream's work. Two calls wait for slots at different
 * moments, so a difference that contains these waits reflects the load rather than the daemons.
 */
export function overheadMs(call: TimedCall): number {
  const { ownerQueue, upstreamWait, upstreamService } = divideTime(call);
  return call.latencyMs - ownerQueue - upstreamWait - upstreamService;
}
