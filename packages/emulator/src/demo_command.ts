import { command, flag } from "cmd-ts";
import { runDemo } from "./demo.ts";

/** `emulator demo`: shows a mesh of three zones at work. */
export const demoCommand = command({
  name: "demo",
  description: "Run three zones of daemons and upstreams and show them at work",
  args: {
    once: flag({
      long: "once",
      description: "End by itself instead of keeping a light load until ctrl-C",
    }),
  },
  handler: async ({ once }) => {
    const stop = new AbortController();
    process.once("SIGINT", () => stop.abort());
    process.once("SIGTERM", () => stop.abort());
    const succeeded = await runDemo({
      once,
      signal: stop.signal,
      write: (line) => console.log(line),
    });
    process.exit(succeeded ? 0 : 1);
  },
});
