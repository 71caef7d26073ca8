import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { createHttpPlatform } from "./index.ts";

t.test("should connect from the daemon's own address, by which networks identify its zone", async (t) => {
  const sources: (string | undefined)[] = [];
  const server = createServer((request, response) => {
    sources.push(request.socket.remoteAddress);
    response.writeHead(503).end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const platform = createHttpPlatform({
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    localAddress: "127.31.240.1",
  });
  t.teardown(async () => {
    await platform.close();
    server.close();
  });
  await platform.readValue("plans");
  t.same(sources, ["127.31.240.1"]);
});
