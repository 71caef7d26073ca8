import { setImmediate as nextTurn } from "node:timers/promises";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { SendQueue } from "./send_queue.ts";

// Guards against one long turn in which all requests of a backlog are sent, and no close of their callers is read.
t.test("should let a few requests go in each turn, in order", async (t) => {
  const queue = new SendQueue({ isBehind: () => true, sendsPerTurn: 2 });
  const sent: number[] = [];
  const sentByTurn: number[] = [];
  for (let i = 0; i < 6; i += 1) void queue.wait().then(() => sent.push(i));
  t.equal(queue.length, 6);
  while (sent.length < 6) {
    await nextTurn();
    sentByTurn.push(sent.length);
  }
  t.same(sent, [0, 1, 2, 3, 4, 5]);
  t.ok(
    sentByTurn.every((count, turn) => count - (sentByTurn[turn - 1] ?? 0) <= 2),
    `sent by turn: ${sentByTurn}`,
  );
  t.equal(queue.length, 0);
});

// Guards against requests that wait for ever if they join while others are let go.
t.test("should let requests go that join during a turn", async (t) => {
  const queue = new SendQueue({ isBehind: () => true, sendsPerTurn: 1 });
  let sent = 0;
  const sendNext = async (left: number): Promise<void> => {
    await queue.wait();
    sent += 1;
    if (left > 1) await sendNext(left - 1);
  };
  void sendNext(5);
  void sendNext(5);
  await waitFor(() => sent === 10);
  t.equal(queue.length, 0);
});

t.test("should let requests go at once unless the process is behind or others wait", async (t) => {
  let isBehind = false;
  const queue = new SendQueue({ isBehind: () => isBehind });
  const sent: string[] = [];
  const send = (name: string) => queue.wait().then(() => sent.push(name));
  await send("a");
  isBehind = true;
  void send("b");
  isBehind = false;
  void send("c");
  t.equal(queue.length, 2);
  await waitFor(() => sent.length === 3);
  t.same(sent, ["a", "b", "c"]);
});
