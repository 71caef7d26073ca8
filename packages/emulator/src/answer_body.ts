/** Options of `answerBody`. */
export interface AnswerBodyOptions {
  /** Name of the upstream. */
  readonly name: string;
  readonly requestId: string;
  readonly id: string;
  readonly url: URL;
}

/**
 * JSON body of an answer: the upstream's name, the ids, and the path with its query. A field `pad` fills
 * the body up to the `answer_bytes` of the URL. It is left out if `answer_bytes` is too small for it.
 */
export function answerBody(
  { name, requestId, id, url }: AnswerBodyOptions,
): Buffer {
  const path = `${url.pathname}${url.search}`;
  const fields = { upstream: name, requestId, id, path };
  const targetBytes = Number(url.searchParams.get("answer_bytes") ?? 0);
  const minBytes = Buffer.byteLength(JSON.stringify({ ...fields, pad: "" }));
  if (targetBytes <= minBytes) return Buffer.from(JSON.stringify(fields));
  const pad = paddingOf(id, targetBytes - minBytes);
  return Buffer.from(JSON.stringify({ ...fields, pad }));
}

/** Padding that differs between ids, so that mixed-up answers are detected. */
export function paddingOf(id: string, sizeBytes: number): string {
  const unit = `${id || "x"}.`;
  return unit.repeat(Math.ceil(sizeBytes / unit.length)).slice(0, sizeBytes);
}
