/** Holds back work while an upstream is frozen. */
export class Freezer {
  #held: (() => void)[] | undefined;

  freeze(): void {
    this.#held ??= [];
  }

  /** Runs the work that was held back, in order of arrival. */
  thaw(): void {
    const held = this.#held ?? [];
    this.#held = undefined;
    for (const run of held) run();
  }

  /** Runs the work now, or after the thaw. */
  run(work: () => void): void {
    if (this.#held === undefined) work();
    else this.#held.push(work);
  }
}
