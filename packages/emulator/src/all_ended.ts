/**
 * Waits until all tasks have ended, and then fails like the first one that failed. With `Promise.all`, what is closed
 * after a failure could miss what the other tasks still open.
 */
export async function allEnded(tasks: Iterable<Promise<void>>): Promise<void> {
  const started = [...tasks];
  await Promise.allSettled(started);
  await Promise.all(started);
}
