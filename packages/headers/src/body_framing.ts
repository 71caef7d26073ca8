/** Codings that leave the bytes of a body as they are. */
const PLAIN_CODINGS: ReadonlySet<string> = new Set(["chunked", "identity"]);

/** The fields of a head that say how its body is framed; names in lower case. */
export interface FramingFields {
  readonly "content-length"?: string | undefined;
  readonly "transfer-encoding"?: string | undefined;
}

/** What a head says of the body that follows it. */
export interface BodyFraming {
  /** Whether a body follows, which may be empty. */
  readonly isExpected: boolean;
  /** Declared length; 0 if none is declared. */
  readonly declaredBytes: number;
  /** Whether the body has a transfer coding besides chunks, which a hop that passes it on would have to decode. */
  readonly isCoded: boolean;
}

/** Reads the framing of a body; Node's parser has refused heads whose framing is ambiguous. */
export function bodyFraming(fields: FramingFields): BodyFraming {
  const length = fields["content-length"];
  const coding = fields["transfer-encoding"] || undefined;
  return {
    isExpected: length !== undefined || coding !== undefined,
    declaredBytes: Number(length ?? 0),
    isCoded: coding !== undefined && !PLAIN_CODINGS.has(coding.toLowerCase()),
  };
}
