import t from "tap";
import { type LearntIdentity, UpstreamIdentity } from "./upstream_identity.ts";

function setUp(isUsable: (id: string) => boolean = () => true) {
  const clock = { nowMs: 1_000 };
  const upstream: { id: string | undefined; fetchCount: number } = {
    id: "new",
    fetchCount: 0,
  };
  const learnt: LearntIdentity[] = [];
  const identity = new UpstreamIdentity({
    service: "shop",
    fetchId() {
      upstream.fetchCount += 1;
      return Promise.resolve(upstream.id);
    },
    isUsable,
    onLearnt: (change) => learnt.push(change),
    nowMs: () => clock.nowMs,
  });
  const idFor = (upstreamId: string, service = "shop") =>
    identity.idFor({ upstreamId, service });
  return { clock, upstream, learnt, identity, idFor };
}

t.test("should replace the former id by the current one in requests for the same service only", async (t) => {
  const { identity, idFor, learnt } = setUp();
  t.equal(idFor("old"), "old");
  await identity.refetchAfterRefusal("old");
  t.equal(idFor("old"), "new");
  t.equal(idFor("old", "bank"), "old");
  t.equal(idFor("other"), "other");
  t.same(learnt, [{ formerId: "old", id: "new" }]);
});

t.test("should not use an id that is not usable, such as one of another service", async (t) => {
  let usable = false;
  const { clock, identity, idFor, learnt } = setUp(() => usable);
  await identity.refetchAfterRefusal("old");
  t.equal(idFor("old"), "old");
  t.same(learnt, []);
  usable = true;
  clock.nowMs += 1_000;
  await identity.refetchAfterRefusal("old");
  t.equal(idFor("old"), "new");
  usable = false;
  t.equal(idFor("old"), "old", "even after it was learnt");
});

// Guards against fetching the id once for each refused request.
t.test("should fetch the id again only after a pause, and detect a further restart", async (t) => {
  const { clock, upstream, identity, idFor } = setUp();
  upstream.id = undefined;
  await Promise.all(
    ["old", "old", "old"].map((id) => identity.refetchAfterRefusal(id)),
  );
  await identity.refetchAfterRefusal("old");
  t.equal(upstream.fetchCount, 1);
  t.equal(idFor("old"), "old");
  for (const id of ["new", "newer"]) {
    upstream.id = id;
    clock.nowMs += 250;
    await identity.refetchAfterRefusal("old");
    t.equal(idFor("old"), id);
  }
});

// Guards against an upstream that gets no request any more: it is back under the id that it had at first, and requests for
// it are still sent with the id that it had meanwhile.
t.test("should use the former id again when the upstream is back under it", async (t) => {
  const { clock, upstream, identity, idFor, learnt } = setUp();
  await identity.refetchAfterRefusal("old");
  t.equal(idFor("old"), "new");
  upstream.id = "old";
  clock.nowMs += 250;
  await identity.refetchAfterRefusal("old");
  t.equal(idFor("old"), "old");
  t.same(learnt.at(-1), { formerId: "new", id: "old" });
});

// Guards against an upstream that gets next to nothing since another writer has added several entries with its address:
// each id that was refused took the place of the one before.
t.test("should replace several ids that the upstream refuses", async (t) => {
  const { clock, upstream, identity, idFor } = setUp();
  const others = ["trial-1", "trial-2", "trial-3"];
  for (const id of others) {
    await identity.refetchAfterRefusal(id);
    clock.nowMs += 250;
  }
  t.same(others.map((id) => idFor(id)), ["new", "new", "new"]);
  upstream.id = "trial-2";
  await identity.refetchAfterRefusal("trial-2");
  const ids = [...others, "new"];
  t.same(ids.map((id) => idFor(id)), ids.map(() => "trial-2"));
});
