import t from "tap";
import { chooseReader } from "./index.ts";

const ZONE = Array.from({ length: 40 }, (_, rank) => `d${rank}`);

function readerOf(
  rank: number,
  avoided: readonly string[] = [],
): string | undefined {
  return chooseReader({
    higherRanked: ZONE.slice(0, rank),
    isAvoided: (reader) => avoided.includes(reader),
  });
}

// Guards against a version that has to leave one narrow link once for each daemon of the zone.
t.test("should spread the followers so that no daemon serves more than four", (t) => {
  const followers = new Map<string, number>();
  for (let rank = 1; rank < ZONE.length; rank += 1) {
    const reader = readerOf(rank)!;
    followers.set(reader, (followers.get(reader) ?? 0) + 1);
  }
  t.equal(Math.max(...followers.values()), 4);
  t.equal(readerOf(0), undefined, "the first one reads the platform");
  t.end();
});

t.test("should turn to its ancestors, then to others that rank higher, then to the platform", (t) => {
  t.equal(readerOf(30), "d7");
  t.equal(readerOf(30, ["d7"]), "d1");
  t.equal(readerOf(30, ["d7", "d1"]), "d0");
  t.equal(readerOf(30, ["d7", "d1", "d0"]), "d2");
  t.equal(readerOf(30, ZONE), undefined);
  t.end();
});
