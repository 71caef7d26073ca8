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

/** Stated bound: time from the end of a fault until callers are served again. */
export const SERVED_AGAIN_BOUND_MS = 3_000;

/** Bound of docs/design.md: time after which a leaving upstream gets no new work. */
export const NO_NEW_WORK_BOUND_MS = 3_000;

/** Deadline of each request of the load. */
export const LOAD_DEADLINE_MS = 1_000;

const SEED = 20_261_204;
const SERVICE = "reservations";
const INSTANCES = 2;
/** Few slots, so that light load fills a queue. */
const SLOTS = 2;
/** Service time of the upstreams while a test does not change it. */
export const SERVICE_TIME_MS = 30;
/**
 * Long enough for a fault to meet a full queue, and short enough that the queue
 * can become full: a daemon that knows the service time refuses whatever would
 * wait for the queue timeout of 1 s, and 2 slots with 8 in the queue are at 900 ms.
 */
const SLOW_SERVICE_TIME_MS = 200;
const RATE_PER_DAEMON = 8;
/** Requests of a burst wait in a full queue, so their deadline must not end them before the fault does. */
const BURST = { ratePerSecond: 1_000, durationMs: 30, deadlineMs: 10_000 };
/** Sent at once, so that the choice of upstream by requests in flight reaches a slow one too. */
const POSTS_AT_ONCE = 4;
const POSTS_INTERVAL_MS = 200;
/** Ejected upstreams get no request for seconds, so what a test waits for may come late. */
const TOLD_TIMEOUT_MS = 30_000;
const CUSTOMER = "isla";
/** Time after the bound in which every request must be answered. */
const STEADY_MS = 1_500;
const READY_TIMEOUT_MS = 30_000;

/** A call with the daemon that it was sent to and its times by `performance.now()`. */
export interface TimedCall extends CallRecord {
  readonly daemonId: string;
  readonly dueAtMs: number;
  readonly endedAtMs: number;
}

/** POSTs that run on an upstream when a fault begins. */
export interface HeldPosts {
  readonly ids: readonly string[];
  /** Whether they all run still. */
  areRunning(): boolean;
  /** Outcome and reason that each of their callers was told. */
  readonly outcomes: Promise<readonly string[]>;
}

/** Options of `RequestFaultCase.holdPosts`. */
export interface HoldPostsOptions {
  /** Daemon whose callers send the POSTs. */
  readonly caller: string;
  readonly serviceTimeMs: number;
  readonly customer?: string;
}

/** A mesh of daemons and upstream processes under a light load, and the checks of its requests. */
export class RequestFaultCase {
  readonly mesh: Mesh;
  readonly calls: TimedCall[] = [];
  readonly #t: Test;
  readonly #stop = new AbortController();
  readonly #runs: Promise<unknown>[] = [];
  /** Daemon that each run of the load is sent to, by the run's seed. */
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

  /** Cuts a zone from other zones, in both directions, or from the platform; the result ends it. */
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

  /** Starts the light load on each of these daemons. */
  startLoad(
    daemons: readonly DaemonProcess[] = this.mesh.fleet.daemons,
    { deadlineMs = LOAD_DEADLINE_MS } = {},
  ): void {
    for (const { id } of daemons) {
      void this.#run(id, {
        ratePerSecond: RATE_PER_DAEMON,
        durationMs: Infinity,
        deadlineMs,
      });
    }
  }

  /** Sends about 30 requests to a daemon at once; resolves when all have ended. */
  sendBurst(id: string): Promise<unknown> {
    return this.#run(id, BURST).ended;
  }

  /** Sends one POST for a customer and returns its outcome and reason. */
  async requestOutcome(id: string, customer: string): Promise<string> {
    return toldTo(await this.#post(id, customer).told);
  }

  /**
   * Sends POSTs to one daemon until some of them run on an upstream, which is slow for these only. A fault
   * that follows meets them.
   */
  async startSlowPosts(
    id: string,
    { caller, serviceTimeMs, customer = CUSTOMER }: HoldPostsOptions,
  ): Promise<HeldPosts> {
    await this.#setServiceTime(id, serviceTimeMs);
    const sent: { readonly seed: string; told: Promise<TimedCall> }[] = [];
    const running = () =>
      this.executions(id)
        .filter(({ endedAtMs }) => endedAtMs === undefined)
        .map((execution) => execution.id)
        .filter((running) => sent.some(({ seed }) => seed === seedOf(running)));
    const ids = await waitFor(() => {
      const held = running();
      if (held.length > 0) return held;
      for (let post = 0; post < POSTS_AT_ONCE; post += 1) {
        sent.push(this.#post(caller, customer));
      }
      return undefined;
    }, {
      what: `POST of ${caller} on ${id}`,
      intervalMs: POSTS_INTERVAL_MS,
      timeoutMs: TOLD_TIMEOUT_MS,
    });
    await this.#setServiceTime(id, SERVICE_TIME_MS);
    const held = sent.filter(({ seed }) =>
      ids.some((heldId) => seedOf(heldId) === seed)
    );
    const told = Promise.all(
      held.map(async (post) => toldTo(await post.told)),
    );
    const areRunning = () => ids.every((held) => running().includes(held));
    return { ids, areRunning, outcomes: told };
  }

  /**
   * Stops an upstream that runs a request and sends it POSTs, until one of them has been sent to it and
   * has passed its deadline there. The load alone may not send it any: its daemon soon finds it silent,
   * and GETs may hold its slots until then.
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
        () => this.#post(id, CUSTOMER, { deadlineMs: LOAD_DEADLINE_MS }),
      );
      const told = await Promise.all(posts.map((post) => post.told));
      if (told.some((call) => toldTo(call) === "unknown deadline")) return true;
      await resume();
      return undefined;
    }, {
      what: `deadline of a POST on the stopped ${id}`,
      timeoutMs: TOLD_TIMEOUT_MS,
    });
  }

  executions(id: string): readonly Execution[] {
    return this.upstream(id).logs.flatMap((log) => log.all);
  }

  /** Waits until this many requests run on an upstream. */
  async waitForRunning(id: string, count = 1): Promise<void> {
    const running = () =>
      this.executions(id).filter(({ endedAtMs }) => endedAtMs === undefined);
    await waitFor(() => running().length >= count, {
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
   * Makes these upstreams slow, fills their queues from their daemons and waits until the named one's is
   * full. The named daemon's own burst comes last, or it could keep all others out of the queue.
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
      // The generator of a busy machine can spread a burst so far that the queue never fills.
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
    // The fault under test is not an overload of the others.
    for (const other of others) {
      await this.#setServiceTime(other, SERVICE_TIME_MS);
    }
    return { ended: Promise.all(bursts) };
  }

  /** Waits for a call that was due from now on and matches. */
  async waitForCall(
    what: string,
    matches: (call: TimedCall) => boolean,
  ): Promise<void> {
    const sinceMs = performance.now();
    await waitFor(
      () => this.calls.some((call) => call.dueAtMs >= sinceMs && matches(call)),
      { what, timeoutMs: TOLD_TIMEOUT_MS },
    );
  }

  /**
   * Requires that callers of these daemons are served from the bound after now on, and that each had an
   * answer before it.
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
      const own = this.calls.filter((call) => call.daemonId === id);
      const served = own.filter(({ outcome, dueAtMs, endedAtMs: atMs }) =>
        outcome === "answered" && dueAtMs >= endedAtMs && atMs <= boundAtMs
      );
      this.#t.ok(served.length > 0, `${id} serves within the bound of ${what}`);
      const later = own.filter(({ dueAtMs }) =>
        dueAtMs > boundAtMs && dueAtMs < steadyUntilMs
      );
      this.#t.ok(later.length > 0, `${id} has load after the bound`);
      const told = later
        .filter(({ outcome }) => outcome !== "answered")
        .map((call) => describeCall(call, endedAtMs));
      this.#t.same(told, [], `${id} answers all after the bound of ${what}`);
    }
  }

  /** Ends the load and compares what callers were told with what ran. */
  async finish(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#runs);
    // Orders are answered after the events before them, so nothing that ran is still on its way here.
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
    const foreign = executions.map(({ id }) => id).filter((id) =>
      !sent.has(id)
    );
    const wrong = this.calls.filter(({ wrongAnswer }) => wrongAnswer);
    this.#t.comment(
      `${this.calls.length} requests, ${JSON.stringify(counts)}, told ${
        JSON.stringify(this.#told())
      }`,
    );
    this.#t.same(runTwice, [], "no non-idempotent request ran twice");
    this.#t.same(lost, [], "nothing told answered did not run");
    this.#t.same(notRunThatRan, [], "nothing told not_run ran");
    this.#t.same(foreign, [], "nothing ran that no caller sent");
    this.#t.same(wrong, [], "no wrong or truncated answer passed as whole");
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

  #told(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      const key = toldTo(call);
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  }

  #post(
    daemonId: string,
    customer: string,
    { deadlineMs = BURST.deadlineMs } = {},
  ) {
    let told: TimedCall;
    const { seed, ended } = this.#run(daemonId, {
      ...BURST,
      deadlineMs,
      durationMs: Infinity,
      maxRequests: 1,
      idempotentShare: 0,
      customers: [customer],
      onTold: (call) => told = call,
    });
    return { seed, told: ended.then(() => told) };
  }

  #run(
    daemonId: string,
    { onTold, ...load }:
      & Pick<RunLoadOptions, "ratePerSecond" | "durationMs">
      & Partial<RunLoadOptions>
      & { readonly onTold?: (call: TimedCall) => void },
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
        onTold?.(timed);
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
  return `${toldTo(call)}: ${kind} ${id}, due after ${dueAfterMs} ms, took ${
    Math.round(latencyMs)
  } ms`;
}

/** Outcome of a call with its reason, where it has one. */
function toldTo({ outcome, reason }: TimedCall): string {
  return reason === undefined ? outcome : `${outcome} ${reason}`;
}

/** The ids of a run's requests begin with its seed. */
function seedOf(requestId: string): string {
  return requestId.slice(0, requestId.indexOf("-"));
}

/** Runs a test of requests under faults and compares executions and outcomes at its end. */
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
