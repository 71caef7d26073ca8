import t from "tap";
import { chooseNextRead, type FinishedRead } from "./index.ts";

/** Longer than the interval between two versions of a busy operator. */
const SLOW_MS = 500;

const next = (lastRead: FinishedRead | undefined, needsFullRead = false) =>
  chooseNextRead({ needsFullRead, lastRead });

// Guards against a watch that transfers all versions written during the transfer before it.
t.test("should read only the newest version after a slow transfer of a version", (t) => {
  t.equal(
    next({ hasNewerVersion: true, transferMs: SLOW_MS }),
    "catch_up_read",
  );
  t.end();
});

// Guards against additional calls of a reader that is not behind.
t.test("should watch unless a version has arrived slowly", (t) => {
  t.equal(next(undefined), "watch");
  t.equal(next({ hasNewerVersion: true, transferMs: 20 }), "watch");
  t.equal(next({ hasNewerVersion: false, transferMs: 0 }), "watch");
  t.end();
});

// Guards against continuous full reads where upstreams change all the time and versions do not.
t.test("should watch after a slow transfer without a newer version", (t) => {
  t.equal(next({ hasNewerVersion: false, transferMs: SLOW_MS }), "watch");
  t.end();
});

// Guards against a configuration that is missed because it counts as known after the history was dropped.
t.test("should read everything if a watch would miss changes", (t) => {
  for (const transferMs of [0, SLOW_MS]) {
    t.equal(next({ hasNewerVersion: true, transferMs }, true), "full_read");
  }
  t.equal(next(undefined, true), "full_read");
  t.end();
});
