/** Head of a request or an answer, without its body. */
export interface MessageHead {
  readonly numbers: readonly number[];
  /** Texts, those that repeat on a connection are sent once. */
  readonly texts: readonly string[];
  /** Numbers that only a daemon reads whose protocol level is at least 1; left out for the others. */
  readonly extension?: readonly number[];
}

/** How a body is asked for. */
export interface ReceiveBodyOptions {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Time within which the first bytes must be granted; otherwise nothing of the body is sent. */
  readonly beginWithinMs: number;
  /** Time within which the body must be whole, as it holds its memory meanwhile. */
  readonly timeoutMs: number;
}

/** A body whose length has been told and that is sent when it is asked for. */
export interface IncomingBody {
  readonly sizeBytes: number;
  /**
   * Takes memory for the body and asks for it. Undefined if there is no memory, if its turn does not come in time, or once
   * its exchange has ended.
   */
  receive(options: ReceiveBodyOptions): Promise<Buffer | undefined>;
}

/** A request or an answer. */
export interface ChannelMessage {
  readonly head: MessageHead;
  readonly body: Buffer | undefined;
  /** The body of a request that has not been sent yet; `body` is undefined then. */
  readonly incoming?: IncomingBody;
}

/** Memory that one body takes while it arrives. */
export interface BodyReservation {
  /** Sets the size; may end this body or another one. */
  resize(sizeBytes: number): void;
  close(): void;
}

/** Memory for the bodies that arrive; `onEnded` is called once if a body must end. */
export interface BodyMemory {
  receive(onEnded: () => void): BodyReservation;
}

/** Why a connection was closed that did not keep to the protocol, or could not be accepted. */
export type ChannelProblem =
  | "frame_too_large"
  | "frame_too_small"
  | "corrupt"
  | "unknown_kind"
  | "malformed"
  | "unknown_version"
  | "too_many_exchanges"
  | "body_too_large"
  | "no_hello"
  | "incomplete_frame"
  | "accept_failed";
