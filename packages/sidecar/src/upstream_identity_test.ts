import t from "tap";
import { type LearntIdentity, UpstreamIdentity } from "./upstream_identity.ts";

function setUp(isUsable: (id: string) => boolean = () => true) {
  const clock = { nowMs: 1_000 };
  const upstream: { id: string | undefined; asked: number } = {
    id: "new",
    asked: 0,
  };
  const learnt: LearntIdentity[] = [];
  const identity = new UpstreamIdentity({
    service: "shop",
    askId() {
      upstream.asked += 1;
      return Promise.resolve(upstream.id);
    },
    isUsable,
    onLearnt: (one) => learnt.push(one),
    nowMs: () => clock.nowMs,
  });
  const idFor = (upstreamId: string, service = "shop") =>
    identity.idFor({ upstreamId, service });
  return { clock, upstream, learnt, identity, idFor };
}

t.test("should use the current id for requests to the former one, of the same service only", async (t) => {
  const { identity, idFor, learnt } = setUp();
  t.equal(idFor("old"), "old");
  await identity.noteRefused("old");
  t.equal(idFor("old"), "new");
  t.equal(idFor("old", "bank"), "old");
  t.equal(idFor("other"), "other");
  t.same(learnt, [{ formerId: "old", id: "new" }]);
});

t.test("should not use an id that leaves or is of another service", async (t) => {
  let usable = false;
  const { clock, identity, idFor, learnt } = setUp(() => usable);
  await identity.noteRefused("old");
  t.equal(idFor("old"), "old");
  t.same(learnt, []);
  usable = true;
  clock.nowMs += 1_000;
  await identity.noteRefused("old");
  t.equal(idFor("old"), "new");
  usable = false;
  t.equal(idFor("old"), "old", "also after it was learnt");
});

// Guards against fetching the id once for each refused request.
t.test("should ask again only after a pause, and follow a further start", async (t) => {
  const { clock, upstream, identity, idFor } = setUp();
  upstream.id = undefined;
  await Promise.all(
    ["old", "old", "old"].map((id) => identity.noteRefused(id)),
  );
  await identity.noteRefused("old");
  t.equal(upstream.asked, 1);
  t.equal(idFor("old"), "old");
  for (const id of ["new", "newer"]) {
    upstream.id = id;
    clock.nowMs += 250;
    await identity.noteRefused("old");
    t.equal(idFor("old"), id);
  }
});
