/**
 * A text as it travels: itself, its number in the table of the connection, or, in a list, itself with the instruction to
 * add it to the table.
 */
export type PackedText = string | number | readonly [string];

/** Texts that a connection remembers; about as many as the field names and values that repeat on it. */
const TABLE_SIZE = 256;

/** Texts that were sent once; if they are sent again, they enter the table. */
const CANDIDATES_SIZE = 256;

/** Longer texts hardly repeat. */
const MAX_TEXT_LENGTH = 200;

/** Shorter texts are about as long as their number. */
const MIN_TEXT_LENGTH = 3;

/** The sender's end of the table: a text that is sent for the second time is remembered, and then sent as a number. */
export class PackingTable {
  readonly #numbers = new Map<string, number>();
  readonly #candidates = new Set<string>();

  pack(text: string): PackedText {
    const number = this.#numbers.get(text);
    if (number !== undefined) return number;
    const isRemembered = text.length >= MIN_TEXT_LENGTH &&
      text.length <= MAX_TEXT_LENGTH && this.#numbers.size < TABLE_SIZE;
    if (!isRemembered) return text;
    if (this.#candidates.delete(text)) {
      this.#numbers.set(text, this.#numbers.size);
      return [text];
    }
    if (this.#candidates.size >= CANDIDATES_SIZE) this.#candidates.clear();
    this.#candidates.add(text);
    return text;
  }
}

/** The receiver's end of the table. */
export class UnpackingTable {
  readonly #texts: string[] = [];

  /** Returns the text; undefined if it is malformed, its number is unknown or the table is full. */
  unpack(packed: unknown): string | undefined {
    if (typeof packed === "string") return packed;
    if (typeof packed === "number") return this.#texts[packed];
    if (!Array.isArray(packed) || packed.length !== 1) return undefined;
    const text: unknown = packed[0];
    if (typeof text !== "string") return undefined;
    if (text.length > MAX_TEXT_LENGTH || this.#texts.length >= TABLE_SIZE) {
      return undefined;
    }
    this.#texts.push(text);
    return text;
  }
}
