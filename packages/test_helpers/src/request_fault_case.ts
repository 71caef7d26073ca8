import t, { type Test } from "tap";
import {
  type CallRecord,
  compareExecutions,
  type DaemonProcess,
  type EndpointSelector,
  type Execution,
  executionsOf,
  mergeSections,
  type Mesh,
  runLoad,
  type RunLoadOptions,
  type StartMeshOptions,
  UpstreamProcess,
} from "@tanagercove/emulator";
import { FAULT_ZONES } from "./fault_case.ts";
import { openMesh } from "./open_mesh.ts";
import { waitFor } from "./wait_for.ts";

/** Documented bound: time from the end of a fault until callers are served again. */
export const SERVED_AGAIN_BOUND_MS = 3_000;

/** Bound stated in docs/design.md: time after which a leaving upstream gets no new work. */
export const NO_NEW_WORK_BOUND_MS = 3_000;

/** Deadline of each request of the load. */
export const LOAD_DEADLINE_MS = 1_000;

const SEED = 20_261_204;
const SERVICE = "reservations";
const INSTANCES = 2;
/** Few slots, so that a light load fills a queue. */
const SLOTS = 2;
/** Service time of the upstreams unless a test changes it. */
export const SERVICE_TIME_MS = 30;
/**
 * Long enough for a fault to hit a full queue, and short enough for the queue to fill up: a daemon refuses a
 * request whose expected wait reaches the queue timeout of 1 s. With 2 slots and 8 requests in the queue, the
 * wait is 900 ms.
 */
const SLOW_SERVICE_TIME_MS = 200;
const RATE_PER_DAEMON = 8;
/** The deadline is long, so that requests of a burst that wait in a full queue do not end before the fault. */
const BURST = { ratePerSecond: 1_000, durationMs: 30, deadlineMs: 10_000 };
/**
 * Number of POSTs sent at once. Daemons prefer upstreams with few requests in flight and a low latency, so a
 * single POST could miss a slow upstream.
 */
const POSTS_AT_ONCE = 4;
const POSTS_INTERVAL_MS = 200;
/** Timeout of waits for a call; it is long, since an ejected upstream gets no request for seconds. */
const WAIT_TIMEOUT_MS = 30_000;
const CUSTOMER = "isla";
/** Time after `SERVED_AGAIN_BOUND_MS` during which every request must be answered. */
const STEADY_MS = 1_500;
const READY_TIMEOUT_MS = 30_000;

/** A call with the daemon to which it was sent, and its times by `performance.now()`. */
export interface TimedCall extends CallRecord {
  readonly daemonId: string;
  readonly dueAtMs: number;
  readonly endedAtMs: number;
}

/** POSTs that are running on an upstream when a fault starts. */
export interface SlowPosts {
  readonly ids: readonly string[];
  /** Whether all of them are still running. */
  areRunning(): boolean;
  /** Outcome and reason of each POST, as its caller received them. */
  readonly outcomes: Promise<readonly string[]>;
}

/** Options of `RequestFaultCase.startSlowPosts`. */
export interface StartSlowPostsOptions {
  /** Id of the daemon to which the POSTs are sent. */
  readonly caller: string;
  readonly serviceTimeMs: number;
  readonly customer?: string;
}

/** A mesh of daemons and upstream processes under a light load, with checks of its requests. */
export class RequestFaultCase {
  readonly mesh: Mesh;
  readonly calls: TimedCall[] = [];
  readonly #t: Test;
  readonly #stop = new AbortController();
  readonly #runs: Promise<unknown>[] = [];
  /** Id of the daemon that each run of the load targets, by the run's seed. */
  readonly #daemonIdBySeed = new Map<string, string>();
  #nextSeed = SEED;

  constructor(t: Test, mesh: Mesh) {
    this.#t = t;
    this.mesh = mesh;
  }

  daemon(id: string): DaemonProcess {
    return this.mesh.fleet.daemon(id);
  }

  upstream(id: string): UpstreamProcess {
    const upstream = this.mesh.upstreams.get(id);
    if (upstream instanceof UpstreamProcess) return upstream;
    throw new Error(`No upstream process "${id}"`);
  }

  /** Daemons other than the named ones. */
  otherDaemons(...ids: readonly string[]): readonly DaemonProcess[] {
    return this.mesh.fleet.daemons.filter(({ id }) => !ids.includes(id));
  }

  /** Cuts a zone from other zones, in both directions, or from the platform; the returned function ends the cut. */
  cut(zone: string, from: readonly string[] | "platform"): () => void {
    const targets: readonly EndpointSelector[] = from === "platform"
      ? [{ kind: "platform" }]
      : from.map((other) => ({ zone: other }));
    const rules = targets.map((to) =>
      this.mesh.relay!.addRule({
        from: { zone },
        to,
        bothWays: true,
        action: "cut",
      })
    );
    return () => rules.forEach((rule) => rule.remove());
  }

  /** Sends `RATE_PER_DAEMON` requests per second to each of these daemons until `finish` is called. */
  startLoad(
    daemons: readonly DaemonProcess[] = this.mesh.fleet.daemons,
    { deadlineMs = LOAD_DEADLINE_MS } = {},
  ): void {
    for (const { id } of daemons) {
      void this.#startRun(id, {
        ratePerSecond: RATE_PER_DAEMON,
        durationMs: Infinity,
        deadlineMs,
      });
    }
  }

  /** Sends a burst of about 30 requests to a daemon; resolves when all have ended. */
  sendBurst(id: string): Promise<unknown> {
    return this.#startRun(id, BURST).ended;
  }

  /** Sends one POST for a customer and returns its outcome and reason. */
  async requestOutcome(id: string, customer: string): Promise<string> {
    return label(await this.#sendPost(id, customer).completedCall);
  }

  /**
   * Sends POSTs to one daemon until some of them run on the upstream `id`. The upstream is slow until then, so
   * that a fault that the test starts next hits running POSTs.
   */
  async startSlowPosts(
    id: string,
    { caller, serviceTimeMs, customer = CUSTOMER }: StartSlowPostsOptions,
  ): Promise<SlowPosts> {
    await this.#setServiceTime(id, serviceTimeMs);
    const sent: { readonly seed: string; completedCall: Promise<TimedCall> }[] =
      [];
    const listRunningIds = () =>
      this.executions(id)
        .filter(({ endedAtMs }) => endedAtMs === undefined)
        .map((execution) => execution.id)
        .filter((runningId) =>
          sent.some(({ seed }) => seed === seedOf(runningId))
        );
    const ids = await waitFor(() => {
      const runningIds = listRunningIds();
      if (runningIds.length > 0) return runningIds;
      for (let post = 0; post < POSTS_AT_ONCE; post += 1) {
        sent.push(this.#sendPost(caller, customer));
      }
      return undefined;
    }, {
      what: `POST of ${caller} on ${id}`,
      intervalMs: POSTS_INTERVAL_MS,
      timeoutMs: WAIT_TIMEOUT_MS,
    });
    await this.#setServiceTime(id, SERVICE_TIME_MS);
    const runningPosts = sent.filter(({ seed }) =>
      ids.some((runningId) => seedOf(runningId) === seed)
    );
    const outcomes = Promise.all(
      runningPosts.map(async (post) => label(await post.completedCall)),
    );
    const areRunning = () =>
      ids.every((postId) => listRunningIds().includes(postId));
    return { ids, areRunning, outcomes };
  }

  /**
   * Stops the upstream `id` while it runs a request, and sends POSTs to its daemon. If no POST reached the
   * stopped upstream and passed its deadline there, the upstream is resumed and the steps are repeated. The
   * load alone may send no POST there: its daemon soon detects that the upstream is silent, and until then GETs
   * may take all slots.
   */
  async stopDuringPosts(
    id: string,
    { stop, resume }: {
      readonly stop: () => unknown;
      readonly resume: () => unknown;
    },
  ): Promise<void> {
    await waitFor(async () => {
      await this.waitForRunning(id);
      await stop();
      const posts = Array.from(
        { length: POSTS_AT_ONCE },
        () => this.#sendPost(id, CUSTOMER, { deadlineMs: LOAD_DEADLINE_MS }),
      );
      const calls = await Promise.all(posts.map((post) => post.completedCall));
      if (calls.some((call) => label(call) === "unknown deadline")) return true;
      await resume();
      return undefined;
    }, {
      what: `deadline of a POST on the stopped ${id}`,
      timeoutMs: WAIT_TIMEOUT_MS,
    });
  }

  executions(id: string): readonly Execution[] {
    return this.upstream(id).logs.flatMap((log) => log.all);
  }

  /** Waits until at least this many requests run on an upstream. */
  async waitForRunning(id: string, count = 1): Promise<void> {
    const listRunning = () =>
      this.executions(id).filter(({ endedAtMs }) => endedAtMs === undefined);
    await waitFor(() => listRunning().length >= count, {
      what: `${count} running requests on ${id}`,
      intervalMs: 2,
    });
  }

  /** Waits until a POST that came through another daemon runs on an upstream. */
  async waitForRunningPostOfOthers(id: string): Promise<void> {
    await waitFor(
      () =>
        this.executions(id).some((execution) =>
          execution.method === "POST" && execution.endedAtMs === undefined &&
          this.#daemonIdBySeed.get(seedOf(execution.id)) !== id
        ),
      { what: `running POST of another daemon on ${id}`, intervalMs: 2 },
    );
  }

  /**
   * Slows the upstreams in `slow` down, sends bursts to their daemons and waits until the daemon `id` has refused
   * a request because its queue was full.
   * The burst to the daemon `id` comes last, since it could otherwise keep requests from the other daemons out
   * of the queue. Afterwards, only the upstream `id` stays slow, if it is in `slow`.
   */
  async fillQueue(
    id: string,
    slow: readonly string[],
  ): Promise<{ readonly ended: Promise<unknown> }> {
    for (const slowId of slow) {
      await this.#setServiceTime(slowId, SLOW_SERVICE_TIME_MS);
    }
    const others = slow.filter((other) => other !== id);
    const bursts = others.map((other) => this.sendBurst(other));
    if (others.length > 0) await this.waitForRunningPostOfOthers(id);
    let lastBurstAtMs = -Infinity;
    await waitFor(async () => {
      // On a busy machine the load generator can stretch a burst so much that the queue never fills.
      if (performance.now() - lastBurstAtMs > SLOW_SERVICE_TIME_MS) {
        lastBurstAtMs = performance.now();
        bursts.push(this.sendBurst(id));
      }
      const dump = await this.daemon(id).dump() as {
        readonly requests: {
          readonly forwarded: { readonly reasons: { queue_full?: number } };
        };
      };
      return (dump.requests.forwarded.reasons.queue_full ?? 0) > 0;
    }, { what: `full queue of ${id}`, intervalMs: 2 });
    await this.waitForRunning(id, SLOTS);
    // The fault under test must not include an overload of the other upstreams.
    for (const other of others) {
      await this.#setServiceTime(other, SERVICE_TIME_MS);
    }
    return { ended: Promise.all(bursts) };
  }

  /** Waits until a matching call has ended that was due after the wait began. */
  async waitForCall(
    what: string,
    matches: (call: TimedCall) => boolean,
  ): Promise<void> {
    const sinceMs = performance.now();
    await waitFor(
      () => this.calls.some((call) => call.dueAtMs >= sinceMs && matches(call)),
      { what, timeoutMs: WAIT_TIMEOUT_MS },
    );
  }

  /**
   * Requires that each of these daemons answers a request within the bound from now, and that it answers
   * all requests that are due within `STEADY_MS` after the bound.
   */
  async expectServedAgain(
    daemons: readonly DaemonProcess[] = this.mesh.fleet.daemons,
    what = "the fault",
  ): Promise<void> {
    const endedAtMs = performance.now();
    const boundAtMs = endedAtMs + SERVED_AGAIN_BOUND_MS;
    const steadyUntilMs = boundAtMs + STEADY_MS;
    await waitFor(
      () => performance.now() > steadyUntilMs + LOAD_DEADLINE_MS,
      { what: "end of the observation" },
    );
    for (const { id } of daemons) {
      const calls = this.calls.filter((call) => call.daemonId === id);
      const served = calls.filter(({ outcome, dueAtMs, endedAtMs: atMs }) =>
        outcome === "answered" && dueAtMs >= endedAtMs && atMs <= boundAtMs
      );
      this.#t.ok(served.length > 0, `${id} serves within the bound of ${what}`);
      const later = calls.filter(({ dueAtMs }) =>
        dueAtMs > boundAtMs && dueAtMs < steadyUntilMs
      );
      this.#t.ok(later.length > 0, `${id} has load after the bound`);
      const unanswered = later
        .filter(({ outcome }) => outcome !== "answered")
        .map((call) => describeCall(call, endedAtMs));
      this.#t.same(
        unanswered,
        [],
        `${id} answers all after the bound of ${what}`,
      );
    }
  }

  /** Ends the load and compares the outcomes that callers received with the executions. */
  async finish(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#runs);
    // The response to a command arrives after all execution events before it, so no event is in transit afterwards.
    for (const upstream of this.mesh.upstreams.values()) {
      if (!(upstream instanceof UpstreamProcess) || !upstream.isRunning) {
        continue;
      }
      upstream.resume();
      await upstream.control({ action: "thaw" });
      await upstream.control({ action: "thaw" });
    }
    const executions = executionsOf(this.mesh);
    const { runTwice, lost, notRunThatRan, ...counts } = compareExecutions(
      this.calls,
      executions,
    );
    const sent = new Set(this.calls.map(({ id }) => id));
    const notSentByCallers = executions.map(({ id }) => id).filter((id) =>
      !sent.has(id)
    );
    const wrong = this.calls.filter(({ wrongAnswer }) => wrongAnswer);
    this.#t.comment(
      `${this.calls.length} requests, ${JSON.stringify(counts)}, outcomes ${
        JSON.stringify(this.#countOutcomes())
      }`,
    );
    this.#t.same(runTwice, [], "no non-idempotent request ran twice");
    this.#t.same(lost, [], "every request with outcome answered ran");
    this.#t.same(notRunThatRan, [], "no request with outcome not_run ran");
    this.#t.same(notSentByCallers, [], "no request ran that no caller sent");
    this.#t.same(
      wrong,
      [],
      "no wrong or truncated answer was accepted as complete",
    );
    this.#t.ok(executions.length > 0, "requests ran");
    this.#t.ok(
      this.calls.some((call) =>
        !call.idempotent && call.outcome === "answered"
      ),
    );
  }

  #setServiceTime(id: string, meanMs: number): Promise<void> {
    return this.upstream(id).control({
      action: "set_service_time",
      serviceTime: { shape: "fixed", meanMs },
    });
  }

  #countOutcomes(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      const key = label(call);
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  }

  #sendPost(
    daemonId: string,
    customer: string,
    { deadlineMs = BURST.deadlineMs } = {},
  ) {
    let completedCall: TimedCall;
    const { seed, ended } = this.#startRun(daemonId, {
      ...BURST,
      deadlineMs,
      durationMs: Infinity,
      maxRequests: 1,
      idempotentShare: 0,
      customers: [customer],
      onCompleted: (call) => completedCall = call,
    });
    return { seed, completedCall: ended.then(() => completedCall) };
  }

  #startRun(
    daemonId: string,
    { onCompleted, ...load }:
      & Pick<RunLoadOptions, "ratePerSecond" | "durationMs">
      & Partial<RunLoadOptions>
      & { readonly onCompleted?: (call: TimedCall) => void },
  ): { readonly seed: string; readonly ended: Promise<unknown> } {
    const seed = this.#nextSeed;
    this.#nextSeed += 1;
    this.#daemonIdBySeed.set(String(seed), daemonId);
    const ended = runLoad({
      deadlineMs: LOAD_DEADLINE_MS,
      customers: [CUSTOMER],
      idempotentShare: 0.5,
      ...load,
      targets: [this.mesh.callerUrl(daemonId)],
      services: [SERVICE],
      seed,
      answerBytes: 2_000,
      signal: this.#stop.signal,
      onCall: (call) => {
        const endedAtMs = performance.now();
        const dueAtMs = endedAtMs - call.latencyMs;
        const timed = { ...call, daemonId, dueAtMs, endedAtMs };
        this.calls.push(timed);
        onCompleted?.(timed);
      },
    });
    this.#runs.push(ended);
    return { seed: String(seed), ended };
  }
}

function describeCall(call: TimedCall, sinceMs: number): string {
  const { id, idempotent, dueAtMs, latencyMs } = call;
  const kind = idempotent ? "idempotent" : "non-idempotent";
  const dueAfterMs = Math.round(dueAtMs - sinceMs);
  return `${label(call)}: ${kind} ${id}, due after ${dueAfterMs} ms, took ${
    Math.round(latencyMs)
  } ms`;
}

/** Formats the outcome of a call, with its reason if it has one. */
function label({ outcome, reason }: TimedCall): string {
  return reason === undefined ? outcome : `${outcome} ${reason}`;
}

/** Returns the seed of the run that sent a request; it is the prefix of the request id. */
function seedOf(requestId: string): string {
  return requestId.slice(0, requestId.indexOf("-"));
}

/** Runs a test of requests under faults, and compares executions with outcomes at its end. */
export function requestFaultTest(
  name: string,
  body: (t: Test, faultCase: RequestFaultCase) => Promise<void>,
  meshOptions: Partial<StartMeshOptions> = {},
): void {
  t.test(name, async (t) => {
    t.comment(`seed ${SEED}`);
    const { settings } = meshOptions;
    const options: StartMeshOptions = {
      zones: FAULT_ZONES,
      services: [SERVICE],
      instances: INSTANCES,
      upstreams: "processes",
      upstreamOptions: () => ({
        slots: SLOTS,
        serviceTime: { shape: "fixed", meanMs: SERVICE_TIME_MS },
      }),
      plans: `${CUSTOMER} = full\n`,
      allowances: `full = ${SERVICE}\n`,
      ...meshOptions,
      settings: (fleetVm) =>
        mergeSections(
          { upstream: { slots: SLOTS } },
          typeof settings === "function" ? settings(fleetVm) : settings ?? {},
        ),
    };
    const mesh = await openMesh(t, options);
    const faultCase = new RequestFaultCase(t, mesh);
    await mesh.fleet.waitUntilInForce(1, { timeoutMs: READY_TIMEOUT_MS });
    await waitFor(async () => {
      const states = await Promise.all(
        mesh.fleet.daemons.map((daemon) => daemon.status()),
      );
      return states.every(({ json }) =>
        json.state === "serving" && json.vms_revision !== undefined
      );
    }, { timeoutMs: READY_TIMEOUT_MS });
    try {
      await body(t, faultCase);
    } finally {
      await faultCase.finish();
    }
  });
}
