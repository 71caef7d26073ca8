import fc from "fast-check";
import t from "tap";
import type { Vm } from "@tanagercove/types";
import {
  chooseUpstream,
  ejectedUpstreams,
  EJECTION_FAILURES,
  type EjectionChange,
  LOAD_MAX_AGE_MS,
  LOAD_MAX_FACTOR,
  loadHint,
  SATURATED_IN_FLIGHT,
  SLOW_START_MS,
  UpstreamObservations,
  type UpstreamResult,
} from "./index.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

const ZONES = ["ojuelegba", "yaba", "surulere"];
const ownZone = ZONES[0]!;

function vm(index: number, change: Partial<Vm> = {}): Vm {
  return {
    id: `stockroom-${index}`,
    service: "stockroom",
    zone: ZONES[index % ZONES.length]!,
    region: "lagos",
    address: `127.23.0.${index}`,
    callerPort: 8080,
    peerPort: 8081,
    upstreamPort: 8082,
    state: "live",
    ...change,
  };
}

function vmsInOwnZone(count: number): readonly Vm[] {
  return Array.from({ length: count }, (_, i) => vm(i, { zone: ownZone }));
}

/** Observations with a clock that the test sets. */
function setUp(vms: readonly Vm[]) {
  const time = { nowMs: 0 };
  const changes: EjectionChange[] = [];
  const observations = new UpstreamObservations({
    clock: { nowMs: () => time.nowMs },
    onChange: (change) => void changes.push(change),
  });
  observations.setVms(vms);
  const call = (id: string, result: UpstreamResult, latencyMs = 5) => {
    observations.begin(id);
    observations.end(id, { result, latencyMs });
  };
  const fail = (id: string, times = EJECTION_FAILURES) => {
    for (let i = 0; i < times; i += 1) call(id, "failed");
  };
  const random = seededRandom();
  const choose = (exclude: readonly string[] = []) =>
    chooseUpstream({
      candidates: vms,
      observations,
      ownZone,
      exclude: new Set(exclude),
      nowMs: time.nowMs,
      random,
    });
  /** Fraction of 2,000 choices that select a VM. */
  const shareOf = (id: string) => {
    let count = 0;
    for (let i = 0; i < 2_000; i += 1) if (choose()?.id === id) count += 1;
    return count / 2_000;
  };
  return { time, changes, observations, call, fail, choose, shareOf };
}

function seededRandom(): () => number {
  let state = SEED;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

const steps = fc.array(
  fc.record({
    index: fc.nat(6),
    result: fc.constantFrom<UpstreamResult>(
      "ok",
      "failed",
      "unreachable",
      "silent",
      "not_run",
    ),
    times: fc.nat(8),
    waitMs: fc.nat(4_000),
    load: fc.double(),
  }),
  { maxLength: 40, size: "max" },
);
const services = fc.array(
  fc.record({
    state: fc.constantFrom("live" as const, "leaving" as const),
    zone: fc.constantFrom(...ZONES),
  }),
  { maxLength: 7 },
);

// Guards against ejections that leave a service without upstreams, and against work sent to a leaving upstream.
t.test("should choose a live upstream that is not excluded whenever there is one, after any history", (t) => {
  fc.assert(
    fc.property(
      services,
      steps,
      fc.array(fc.nat(6)),
      (service, steps, tried) => {
        const vms = service.map((change, i) => vm(i, change));
        const { time, observations, call, choose } = setUp(vms);
        const exclude = tried.map((index) => vm(index).id);
        const open = vms.filter(({ id, state }) =>
          state === "live" && !exclude.includes(id)
        );
        for (const step of steps) {
          const { id } = vm(step.index);
          for (let i = 0; i < step.times; i += 1) call(id, step.result);
          observations.reportLoad(id, step.load);
          time.nowMs += step.waitMs;
          const chosen = choose(exclude);
          if (chosen === undefined ? open.length > 0 : !open.includes(chosen)) {
            return false;
          }
        }
        return true;
      },
    ),
    { seed: SEED },
  );
  t.end();
});

// Guards against a daemon that ejects all upstreams of a service because its own network has failed.
t.test("should never eject more than half of a service", (t) => {
  fc.assert(
    fc.property(fc.nat(12), steps, (count, steps) => {
      const vms = vmsInOwnZone(count);
      const { time, observations, call } = setUp(vms);
      for (const step of steps) {
        for (let i = 0; i < step.times; i += 1) {
          call(vm(step.index).id, step.result);
        }
        time.nowMs += step.waitMs / 10;
        const { size } = ejectedUpstreams({
          candidates: vms,
          observations,
          nowMs: time.nowMs,
        });
        if (size > count / 2 || (count > 0 && size >= count)) return false;
      }
      return true;
    }),
    { seed: SEED },
  );
  t.end();
});

// Guards against requests that keep going to a dead upstream, and an ejected upstream that is never tried again.
t.test("should eject after five failures in a row, for 5 s, then twice as long", (t) => {
  const { time, fail, choose, shareOf } = setUp(vmsInOwnZone(3));
  const { id } = vm(1);
  time.nowMs = SLOW_START_MS;
  fail(id, EJECTION_FAILURES - 1);
  t.ok(shareOf(id) > 0.2);
  fail(id, 1);
  t.equal(shareOf(id), 0);
  time.nowMs += 5_001;
  const share = shareOf(id);
  t.ok(share > 0 && share < 0.1, `slow start after an ejection: ${share}`);
  fail(id, 1);
  time.nowMs += 9_900;
  t.equal(shareOf(id), 0);
  t.ok(choose([vm(0).id, vm(2).id]), "an ejected upstream rather than none");
  t.end();
});

// Guards against an ejection that lasts long after the upstream answers again, and against ignoring the owner
// daemon's report that its upstream is silent.
t.test("should eject for 2 s when the owner daemon reports a silent upstream, and again after five failures", (t) => {
  const { time, changes, call, fail, shareOf } = setUp(vmsInOwnZone(3));
  const { id } = vm(1);
  time.nowMs = SLOW_START_MS;
  fail(id, EJECTION_FAILURES - 1);
  call(id, "silent");
  t.equal(shareOf(id), 0);
  fail(id);
  time.nowMs += 2_001;
  t.ok(shareOf(id) > 0.2, "full share at once, since a refusal costs little");
  call(id, "silent");
  time.nowMs += 2_001;
  fail(id, EJECTION_FAILURES - 1);
  t.ok(shareOf(id) > 0.2);
  fail(id, 1);
  t.equal(shareOf(id), 0);
  call(id, "ok");
  time.nowMs += 5_000;
  call(id, "ok");
  t.same(changes, [
    { kind: "ejected", vmId: id, cause: "upstream_silent" },
    { kind: "returned", vmId: id, ejectedMs: 9_002 },
  ]);
  t.end();
});

// Guards against a killed upstream that exhausts the retry budget: five refused connections cost five retries,
// and the requests after them were refused although other upstreams had free slots.
t.test("should eject for 2 s at the first refused connection, and for longer from the fifth on", (t) => {
  const { time, changes, call, shareOf } = setUp(vmsInOwnZone(3));
  const { id } = vm(1);
  time.nowMs = SLOW_START_MS;
  for (let refused = 1; refused < EJECTION_FAILURES; refused += 1) {
    call(id, "unreachable");
    t.equal(shareOf(id), 0);
    time.nowMs += 2_001;
    t.ok(shareOf(id) > 0.2, "tried again soon");
  }
  call(id, "unreachable");
  time.nowMs += 2_001;
  t.equal(shareOf(id), 0, "ejected for longer");
  t.same(changes, [
    { kind: "ejected", vmId: id, cause: "connect_failed" },
  ]);
  t.end();
});

// Guards against unnecessary traffic between zones, and against requests refused although another zone has
// free slots.
t.test("should leave the local zone only when its upstreams are saturated, ejected or excluded", (t) => {
  const vms = [0, 1, 2, 3].map((i) => vm(i));
  const inOwnZone = () => choose()?.zone === ownZone;
  const { time, observations, call, fail, choose } = setUp(vms);
  t.ok(inOwnZone());
  t.not(choose([vm(0).id, vm(3).id])?.zone, ownZone);
  for (let i = 0; i < SATURATED_IN_FLIGHT; i += 1) {
    observations.begin(vm(0).id);
  }
  t.equal(choose()?.id, vm(3).id);
  call(vm(3).id, "not_run");
  t.notOk(inOwnZone());
  time.nowMs += 200;
  t.ok(inOwnZone(), "a refusal counts for a short time");
  fail(vm(3).id);
  t.notOk(inOwnZone());
  t.end();
});

// Guards against requests that keep going to dead upstreams because more than half of a service is dead.
t.test("should choose an upstream that answers while more than half of the others are unreachable", (t) => {
  const vms = [0, 1, 2, 3, 4, 5].map((i) => vm(i));
  const { time, observations, call, shareOf } = setUp(vms);
  const { id } = vm(3);
  for (const dead of [0, 1, 2, 4, 5]) {
    time.nowMs += 100;
    call(vm(dead).id, "unreachable");
  }
  t.equal(shareOf(id), 1);
  for (let i = 0; i < SATURATED_IN_FLIGHT; i += 1) observations.begin(id);
  t.equal(shareOf(id), 0, "others are tried once it is saturated");
  t.end();
});

// Guards against a cold upstream that gets its full share of requests at once.
t.test("should slowly raise the share of a new upstream, and of one that becomes live again", (t) => {
  const vms = vmsInOwnZone(2);
  const { time, observations, shareOf } = setUp(vms);
  const [other, { id }] = vms as [Vm, Vm];
  for (const before of [[other], [other, vm(1, { state: "leaving" })]]) {
    observations.setVms(before);
    time.nowMs += 2 * SLOW_START_MS;
    observations.setVms(vms);
    const cold = shareOf(id);
    t.ok(cold > 0 && cold < 0.1, `cold: ${cold}`);
    time.nowMs += SLOW_START_MS / 2;
    const halfWarm = shareOf(id);
    t.ok(halfWarm > 0.2 && halfWarm < 0.3, `half warm: ${halfWarm}`);
    time.nowMs += SLOW_START_MS / 2;
    t.ok(shareOf(id) > 0.45);
  }
  t.end();
});

// Guards against a wrong load report that sends all requests to an upstream or none.
t.test("should bound the influence of a reported load to less than one request in flight and drop it with age", (t) => {
  fc.assert(
    fc.property(fc.double({ noNaN: true }), fc.nat(10_000), (load, ageMs) => {
      const hint = loadHint({ reported: { load, atMs: 0 }, nowMs: ageMs });
      const isOld = ageMs >= LOAD_MAX_AGE_MS;
      return hint >= 1 / LOAD_MAX_FACTOR && hint <= LOAD_MAX_FACTOR &&
        (!isOld || hint === 1);
    }),
    { seed: SEED },
  );
  const { observations, shareOf } = setUp(vmsInOwnZone(2));
  const { id } = vm(1);
  observations.reportLoad(id, -Infinity);
  observations.reportLoad(vm(0).id, 1);
  t.equal(shareOf(id), 1);
  observations.begin(id);
  t.equal(shareOf(id), 0, "own requests in flight outweigh the report");
  t.end();
});

// Guards against a frozen or slow upstream that keeps receiving requests, and against counting quick failures
// as low latency.
t.test("should prefer few requests in flight and a low latency of answers", (t) => {
  const { time, observations, call, shareOf } = setUp(vmsInOwnZone(2));
  const { id } = vm(1);
  call(vm(0).id, "ok", 5);
  call(id, "ok", 20);
  call(id, "failed", 0);
  t.equal(shareOf(id), 0);
  time.nowMs += 10_001;
  t.ok(shareOf(id) > 0.4, "a stale average is ignored");
  observations.begin(id);
  t.equal(shareOf(id), 0);
  t.end();
});

// Guards against memory that grows with every replaced VM, and wrong counts for a VM that is listed again.
t.test("should keep state for the listed 3,000 VMs only, and for requests in flight", (t) => {
  const { observations, call } = setUp([]);
  for (let day = 0; day < 20; day += 1) {
    const vms = Array.from({ length: 3_000 }, (_, i) => vm(day * 290 + i));
    observations.setVms(vms);
    for (const { id } of vms) call(id, "ok");
    t.equal(observations.size, 3_000);
  }
  const { id } = vm(20 * 290);
  observations.begin(id);
  observations.setVms([]);
  t.equal(observations.size, 1);
  observations.setVms([vm(20 * 290)]);
  t.equal(observations.get(id)?.inFlight, 1);
  observations.setVms([]);
  observations.end(id, { result: "ok", latencyMs: 1 });
  observations.end(id, { result: "ok", latencyMs: 1 });
  t.equal(observations.size, 0);
  t.end();
});
