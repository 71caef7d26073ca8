import type { ConnectionUse, ExchangeEnd } from "./exchange.ts";
import type { RequestHeaderNames } from "./settings.ts";

/** What a verdict on a request rests on. */
export type VerdictEvidence =
  /** No byte of the request was given to an open connection. */
  | { readonly kind: "not_sent" }
  /** The request may have been sent, and no complete answer was read. */
  | { readonly kind: "no_answer"; readonly connection?: ConnectionUse }
  /** A complete answer of the upstream. */
  | {
    readonly kind: "answer";
    readonly status: number;
    /** Whether the answer says by its header that the upstream has not run the request. */
    readonly saysNotRun: boolean;
    readonly connection?: ConnectionUse;
  }
  /** The verdict of the owner daemon, which logs its own evidence. */
  | { readonly kind: "owner_daemon" };

/** Evidence of a request that was given to no connection. */
export const NOT_SENT: VerdictEvidence = { kind: "not_sent" };

/** Evidence of an exchange with the upstream. */
export function evidenceOfExchange(
  end: ExchangeEnd,
  names: Pick<RequestHeaderNames, "notRun">,
): VerdictEvidence {
  const { connection } = end;
  if (end.kind === "answered") {
    const saysNotRun = end.headers[names.notRun] !== undefined;
    return { kind: "answer", status: end.status, saysNotRun, connection };
  }
  return end.mayHaveBeenSent ? { kind: "no_answer", connection } : NOT_SENT;
}

/** Evidence of a request to another daemon from which no verdict arrived. */
export function evidenceOfLostVerdict(
  { mayHaveBeenSent }: { readonly mayHaveBeenSent: boolean },
): VerdictEvidence {
  return mayHaveBeenSent ? { kind: "no_answer" } : NOT_SENT;
}

/** What a verdict rests on, as fields of a log line; a field without a value is left out. */
export interface EvidenceFields {
  readonly evidence?: string;
  readonly answer_status?: number;
  readonly connection_port?: number;
  readonly exchange_on_connection?: number;
}

/** Formats evidence for the log. */
export function evidenceFields(
  evidence: VerdictEvidence | undefined,
): EvidenceFields {
  if (evidence === undefined) return {};
  const connection = "connection" in evidence ? evidence.connection : undefined;
  return {
    evidence: evidence.kind === "answer" && evidence.saysNotRun
      ? "answer_says_not_run"
      : evidence.kind,
    ...(evidence.kind === "answer" && { answer_status: evidence.status }),
    ...(connection && {
      connection_port: connection.localPort,
      exchange_on_connection: connection.exchange,
    }),
  };
}
