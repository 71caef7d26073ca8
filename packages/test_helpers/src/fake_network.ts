import { Result } from "true-myth";
import type { Clock } from "@tanagercove/membership";
import {
  type RpcCaller,
  type RpcHandlers,
  type RpcMethod,
  TIMEOUT_MS_BY_METHOD,
} from "@tanagercove/rpc";

/** How a call fails: its timeout passes without a response, or its connection is refused. */
export type CallFault = "silent" | "refused";

/** A call that was sent over the network. */
export interface ObservedCall {
  readonly from: string;
  readonly to: string;
  readonly method: RpcMethod;
  readonly params: unknown;
}

/** In-memory network that passes calls to handlers as JSON. */
export class FakeNetwork {
  readonly calls: ObservedCall[] = [];
  /** Chooses the fault of each call; undefined lets the call through. */
  fault: (call: ObservedCall) => CallFault | undefined = () => undefined;
  readonly #clock: Clock;
  readonly #handlersByAddress = new Map<string, RpcHandlers>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  listen(address: string, handlers: RpcHandlers): void {
    this.#handlersByAddress.set(address, handlers);
  }

  close(address: string): void {
    this.#handlersByAddress.delete(address);
  }

  callerFrom(from: string): RpcCaller {
    return {
      closeIdle() {},
      call: async ({ address }, { method, params }) => {
        const sent = cloneAsJson(params);
        const call = { from, to: address, method, params: sent };
        this.calls.push(call);
        const fault = this.fault(call);
        const handlers = this.#handlersByAddress.get(address);
        if (fault === "silent") {
          const timeoutMs = TIMEOUT_MS_BY_METHOD[method];
          await this.#clock.sleep(timeoutMs);
          return Result.err({ kind: "timeout", timeoutMs });
        }
        if (fault === "refused" || handlers === undefined) {
          return Result.err({ kind: "unreachable", message: "refused" });
        }
        const answer = await handlers[method](sent);
        return answer.isOk
          ? Result.ok(cloneAsJson(answer.value))
          : Result.err({ kind: "refused", ...answer.error });
      },
    };
  }
}

function cloneAsJson(message: unknown): unknown {
  const text = JSON.stringify(message);
  return text === undefined ? undefined : JSON.parse(text);
}
