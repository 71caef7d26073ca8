import type { ServerResponse } from "node:http";
import t from "tap";
import { Client, type Dispatcher } from "undici";
import { classifyExchange } from "./classify_exchange.ts";
import { Exchange } from "./exchange.ts";
import { startScriptedServer } from "./mesh_fixture.ts";

const ADDRESS = "127.22.5.1";
const REQUEST = {
  method: "GET",
  path: "/",
  headers: [],
  body: undefined,
  timeoutMs: 5_000,
  bufferBytes: 1_000,
};

// A request must not be sent once its outcome has been reported as `not_run`.
t.test("should never send a request that was aborted before it began", async (t) => {
  for (const failure of ["deadline", "cancelled"] as const) {
    let handler: Dispatcher.DispatchHandler = {};
    const dispatcher = {
      dispatch: (
        _options: unknown,
        passedHandler: Dispatcher.DispatchHandler,
      ) => handler = passedHandler,
    } as unknown as Dispatcher;
    const exchange = new Exchange({ ...REQUEST, dispatcher });
    exchange.abort(failure);
    const end = await exchange.ended;
    t.equal(classifyExchange({ hop: "peer", ...end }).outcome, "not_run");
    let aborted = false;
    handler.onConnect?.(() => aborted = true);
    t.equal(aborted, true);
  }
});

// undici 7.30 fails an assertion, which would end the process, if a connection without keep-alive ends
// while it is paused.
t.test("should survive a connection that ends while its receiver is slow", async (t) => {
  const sink = {
    write: () => false,
    on() {},
    writableLength: 0,
  } as unknown as ServerResponse;
  for (
    const head of ["HTTP/1.1 200 OK\r\nconnection: close", "HTTP/1.0 200 OK"]
  ) {
    for (const length of [2_000, 3_000]) {
      const server = await startScriptedServer(ADDRESS, (socket) => {
        socket.write(
          `${head}\r\ncontent-length: ${length}\r\n\r\n${"x".repeat(1_500)}`,
        );
        setTimeout(() => socket.write("x".repeat(500)), 20);
        setTimeout(() => socket.end(), 40);
      });
      const dispatcher = new Client(`http://${ADDRESS}:${server.port}`);
      const exchange = new Exchange({ ...REQUEST, dispatcher });
      t.equal((await exchange.ended).continues, true);
      t.equal(await exchange.pipeTo(sink), length === 2_000);
      await dispatcher.destroy();
      await server.close();
    }
  }
});
