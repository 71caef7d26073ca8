import type { ServerResponse } from "node:http";

/**
 * Answers a request whose handler threw an error with 500, which leaves open whether the request ran. If an answer has
 * been started, its connection is closed, so that it can't look complete.
 */
export function answerFailedRequest(response: ServerResponse): void {
  if (response.writableEnded) return;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(500, ["content-length", "0"]);
  response.end();
}
