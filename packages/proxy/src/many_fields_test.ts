import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { CALL, sendRaw, startMesh } from "./mesh_fixture.ts";

interface Arrived {
  readonly body: string;
  readonly fieldCount: number;
}

// Guards against requests that run without their body: Node's limit on the number of fields hid the one that says that
// there is a body, and the body was dropped.
t.test("should pass on the whole body and all fields of a request, however many there are", async (t) => {
  const arrived: Arrived[] = [];
  const upstream = createServer({ maxHeaderSize: 64 * 1024 });
  upstream.maxHeadersCount = 0;
  upstream.on("request", async (request, response) => {
    let body = "";
    for await (const chunk of request) body += String(chunk);
    const fieldCount = request.rawHeaders.filter((name) =>
      /^x\d+$/.test(name)
    ).length;
    if (request.url === "/") arrived.push({ body, fieldCount });
    response.end("ok");
  });
  await new Promise<void>((resolve) =>
    upstream.listen(0, "127.22.7.1", resolve)
  );
  const mesh = await startMesh({
    net: "22.7",
    upstreamPorts: [(upstream.address() as AddressInfo).port],
    proxy: { healthIntervalMs: 60_000 },
  });
  t.teardown(async () => {
    await mesh.close();
    upstream.close();
    upstream.closeAllConnections();
  });
  for (const count of [100, 1_100]) {
    const fields = Array.from({ length: count }, (_, i) => `x${i}: 1\r\n`);
    const head = `POST / HTTP/1.1\r\n${CALL}${fields.join("")}`;
    await sendRaw(
      mesh,
      `${head}connection: close\r\ncontent-length: 5\r\n\r\nhello`,
    );
    t.same(arrived.pop(), { body: "hello", fieldCount: count });
  }
});
