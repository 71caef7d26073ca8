/** Options of `answerBody`. */
export interface AnswerBodyOptions {
  /** Name of the upstream. */
  readonly name: string;
  readonly requestId: string;
  readonly id: string;
  readonly url: URL;
}

/** Body of an answer: who answered what, padded to the `answer_bytes` that the path asks for. */
export function answerBody(
  { name, requestId, id, url }: AnswerBodyOptions,
): Buffer {
  const path = `${url.pathname}${url.search}`;
  const fields = { upstream: name, requestId, id, path };
  const wantedBytes = Number(url.searchParams.get("answer_bytes") ?? 0);
  const bareBytes = Buffer.byteLength(JSON.stringify({ ...fields, pad: "" }));
  if (wantedBytes <= bareBytes) return Buffer.from(JSON.stringify(fields));
  const pad = paddingOf(id, wantedBytes - bareBytes);
  return Buffer.from(JSON.stringify({ ...fields, pad }));
}

/** Padding that differs between ids, so that mixed-up answers are noticed. */
export function paddingOf(id: string, sizeBytes: number): string {
  const unit = `${id || "x"}.`;
  return unit.repeat(Math.ceil(sizeBytes / unit.length)).slice(0, sizeBytes);
}
