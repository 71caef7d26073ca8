import t from "tap";
import { addUpstreamState, encodeUpstreamState } from "./forwarding.ts";
import { UpstreamLimit } from "./upstream_limit.ts";

function setUp() {
  const clock = { nowMs: 0 };
  const changes: (number | undefined)[] = [];
  const limit = new UpstreamLimit({
    nowMs: () => clock.nowMs,
    onChange: (limitPerSecond) => changes.push(limitPerSecond),
  });
  return { clock, changes, limit };
}

// Guards against a limit that is dropped and taken up again while answers from before it still arrive.
t.test("should end a limit only some time after the last answer that names it", (t) => {
  const { clock, changes, limit } = setUp();
  limit.record("28.8");
  clock.nowMs = 100;
  limit.record(undefined);
  t.same(changes, [28.8]);
  clock.nowMs = 200;
  limit.record("14.4");
  clock.nowMs = 1_000;
  limit.record(undefined);
  t.same(changes, [28.8, 14.4, undefined]);
  t.end();
});

// Guards against an upstream that gets no request any more, so that no answer can end its limit.
t.test("should keep a low limit above 0, and take a malformed one as none", (t) => {
  const { changes, limit } = setUp();
  for (const field of ["", "soon", "-1", "1e999", ["1", "2"]]) {
    limit.record(field);
  }
  t.same(changes, []);
  limit.record("0");
  t.same(changes, [1]);
  t.end();
});

// Guards against an exception or an endless wait for a malformed value of another daemon.
t.test("should pass a limit and a leaving on to other daemons, which ignore malformed ones", (t) => {
  const load = { running: 1, slots: 4, waitingByRank: [0], serviceTimeMs: 50 };
  const state = { load, version: 1, revision: 1 };
  t.equal(encodeUpstreamState(state), undefined);
  const limited = {
    ...state,
    load: { ...load, limitPerSecond: 15.5, startDelayMs: 65 },
  };
  t.match(addUpstreamState(state, encodeUpstreamState(limited)!), limited);
  const leaving = { ...limited, isUpstreamLeaving: true };
  t.match(addUpstreamState(state, encodeUpstreamState(leaving)!), leaving);
  const leavingOnly = { ...state, isUpstreamLeaving: true };
  const decoded = addUpstreamState(state, encodeUpstreamState(leavingOnly)!);
  t.equal(decoded.isUpstreamLeaving, true);
  t.equal(decoded.load.limitPerSecond, undefined);
  for (
    const text of [
      "",
      "15.5,1",
      "x,1,0",
      "0,1,0",
      "-1,1,0",
      "5,x,0",
      "1e999,1,0",
    ]
  ) {
    t.equal(addUpstreamState(state, text), state, text);
  }
  t.end();
});
