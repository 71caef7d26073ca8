/** Why a call to another daemon got no usable response. */
export type RpcError =
  | { readonly kind: "timeout"; readonly timeoutMs: number }
  | { readonly kind: "unreachable"; readonly message: string }
  /** Too many calls to this peer are open; nothing was sent. */
  | { readonly kind: "busy"; readonly openCalls: number }
  | {
    readonly kind: "refused";
    readonly code: number;
    readonly message: string;
  }
  | { readonly kind: "malformed"; readonly message: string };
