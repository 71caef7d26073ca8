/** Why a call to the platform got no usable response. */
export type PlatformError =
  | { readonly kind: "timeout"; readonly timeoutMs: number }
  | { readonly kind: "unreachable"; readonly message: string }
  | { readonly kind: "rate_limited" }
  | { readonly kind: "unavailable"; readonly status: number }
  | { readonly kind: "history_dropped" }
  /** The answer would take more memory than it may. */
  | { readonly kind: "too_large"; readonly maxBytes: number }
  | { readonly kind: "malformed"; readonly message: string };
