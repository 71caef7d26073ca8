import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import t from "tap";
import { setUpCallerHandler } from "./caller_handler_fixture.ts";
import type { ServedRequest } from "./serve_request.ts";

/** Farthest that the share of a target may be from its weight. */
const MAX_DEVIATION = 0.1;

function send(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
  id: string,
): void {
  const request = new IncomingMessage(new Socket());
  const headers = { host: "shop.example", "x-id": id, "x-left": "2000" };
  Object.assign(request, { method: "GET", url: "/browse/x", headers });
  handle(request, new ServerResponse(request));
  request.complete = true;
  request.push(null);
}

// Guards against requests that move to another target of a split route while one is short of room.
t.test("should keep the weights of a split route while one of its targets refuses", async (t) => {
  const counts = { shop: 0, archive: 0 };
  const refused: ServedRequest = {
    kind: "refused",
    reason: "busy",
    retryAfterMs: 100,
  };
  const { handler } = setUpCallerHandler({
    route: {
      hasLargeBodies: true,
      targets: [{ service: "shop", weight: 3 }, {
        service: "archive",
        weight: 1,
      }],
    },
    serve({ service }) {
      counts[service as keyof typeof counts] += 1;
      return Promise.resolve(service === "shop" ? refused : { kind: "gone" });
    },
  });
  for (let i = 0; i < 200; i += 1) send(handler.handle, `r${i}`);
  await new Promise((resolve) => setImmediate(resolve));
  t.equal(counts.shop + counts.archive, 200);
  const share = counts.shop / 200;
  t.ok(Math.abs(share - 0.75) <= MAX_DEVIATION, `${share} of the requests`);
});
