import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect } from "node:net";
import t, { type Test } from "tap";
import type { Result } from "true-myth";
import { waitFor } from "@tanagercove/test_helpers";
import { createMemory } from "./memory_fixture.ts";
import { type BodyProblem, type ReadBody, readBody } from "./read_body.ts";

const KB = 1_000;

/** Reads the body of one request that is written as bytes; `send` writes more of it. */
async function readOne(
  t: Test,
  head: string,
  { timeoutMs = 10_000, memoryBytes = 60 * KB }: {
    readonly timeoutMs?: number;
    readonly memoryBytes?: number;
  } = {},
) {
  const memory = createMemory({
    bodyBytes: 2 * memoryBytes,
    bodyBytesOfUse: memoryBytes,
  });
  let result: Result<ReadBody, BodyProblem> | undefined;
  let request: IncomingMessage | undefined;
  const server = createServer((received) => {
    request = received;
    void readBody(received, {
      maxBytes: 70 * KB,
      reserve: (sizeBytes) => memory.reserveBody("caller_bodies", sizeBytes),
      timeoutMs,
    }).then((read) => result = read);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.on("error", () => {});
  t.teardown(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${head}\r\n\r\n`);
  await waitFor(() => request !== undefined);
  return {
    memory,
    socket,
    ended: async () => {
      await waitFor(() => result !== undefined);
      return result!;
    },
  };
}

const problemOf = (read: Result<ReadBody, BodyProblem>) =>
  read.isErr && read.error;

// Load: uploads that together take more memory than there is. Nothing of the body has been sent when it is refused.
t.test("should refuse a body that does not fit before it is read", async (t) => {
  const { ended, memory } = await readOne(t, `Content-Length: ${65 * KB}`);
  t.equal(problemOf(await ended()), "no_memory");
  t.equal(memory.usedBytes("caller_bodies"), 0);
});

t.test("should refuse a body over the limit before it is read", async (t) => {
  const { ended } = await readOne(t, `Content-Length: ${71 * KB}`);
  t.equal(problemOf(await ended()), "too_large");
});

t.test("should refuse a body in chunks once it is over the limit, or has no memory", async (t) => {
  const chunk = (sizeBytes: number) =>
    `${sizeBytes.toString(16)}\r\n${"b".repeat(sizeBytes)}\r\n`;
  const tooLarge = await readOne(t, "Transfer-Encoding: chunked", {
    memoryBytes: 200 * KB,
  });
  tooLarge.socket.write(chunk(71 * KB));
  t.equal(problemOf(await tooLarge.ended()), "too_large");
  t.equal(tooLarge.memory.usedBytes("caller_bodies"), 0);
  const noMemory = await readOne(t, "Transfer-Encoding: chunked");
  noMemory.socket.write(chunk(65 * KB));
  t.equal(problemOf(await noMemory.ended()), "no_memory");
  t.equal(noMemory.memory.usedBytes("caller_bodies"), 0);
});

t.test("should hold the memory of a body until it is given back", async (t) => {
  const { ended, memory, socket } = await readOne(t, "Content-Length: 50000");
  await waitFor(() => memory.usedBytes("caller_bodies") === 50_000);
  socket.write("b".repeat(20_000));
  socket.write("c".repeat(30_000));
  const read = await ended();
  if (read.isErr) return t.fail(read.error);
  t.equal(read.value.body!.toString(), "b".repeat(20_000) + "c".repeat(30_000));
  t.equal(memory.usedBytes("caller_bodies"), 50_000);
  read.value.lease!.close();
  t.equal(memory.usedBytes("caller_bodies"), 0);
});

// Guards against callers that send nothing more and keep the memory of their bodies.
t.test("should give up a body that is not complete in time", async (t) => {
  const { ended, memory, socket } = await readOne(t, "Content-Length: 50000", {
    timeoutMs: 50,
  });
  socket.write("b");
  t.equal(problemOf(await ended()), "too_late");
  t.equal(memory.usedBytes("caller_bodies"), 0);
});

t.test("should give the memory back if the caller leaves", async (t) => {
  const { ended, memory, socket } = await readOne(t, "Content-Length: 50000");
  socket.destroy();
  t.equal(problemOf(await ended()), "gone");
  t.equal(memory.usedBytes("caller_bodies"), 0);
});

// Guards against a request that is passed on without its body since the field that announces it was dropped.
t.test("should refuse a body whose announcement is missing from the head", async (t) => {
  const fields = Array.from({ length: 1_100 }, (_, i) => `x${i}: 1\r\n`);
  const { ended } = await readOne(
    t,
    `${fields.join("")}Content-Length: 3\r\n\r\nabc`,
  );
  t.equal(problemOf(await ended()), "unannounced");
});
