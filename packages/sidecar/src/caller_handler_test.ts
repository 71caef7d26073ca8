import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import type { RoutedRequest } from "./caller_request.ts";
import { setUpCallerHandler } from "./caller_handler_fixture.ts";

/** Passes a request to the handler; returns it once it is served. */
async function handle(
  { handler, served }: ReturnType<typeof setUpCallerHandler>,
  timeLeft: string,
): Promise<RoutedRequest> {
  const servedBefore = served.length;
  const request = new IncomingMessage(new Socket());
  request.method = "GET";
  request.url = "/browse/x";
  request.headers = { host: "shop.example", "x-id": "r", "x-left": timeLeft };
  handler.handle(request, new ServerResponse(request));
  await waitFor(() => served.length > servedBefore);
  return served.at(-1)!;
}
// Guards against one caller that makes all later requests of its route fail: the time since their first attempt was
// estimated as infinite, and other daemons refused their tickets as malformed.
t.test("should treat an infinite time left as missing", async (t) => {
  const callers = setUpCallerHandler();
  for (const timeLeft of ["Infinity", "-Infinity", "1e999"]) {
    const { deadlineAtMs, objectiveAtMs } = await handle(callers, timeLeft);
    t.ok(Number.isFinite(deadlineAtMs), `deadline for ${timeLeft}`);
    t.ok(Number.isFinite(objectiveAtMs), `objective for ${timeLeft}`);
  }
  const { objectiveAtMs } = await handle(callers, "900");
  t.ok(Number.isFinite(objectiveAtMs), "objective of a later request");
});
