import { command, flag } from "cmd-ts";
import { runDemo } from "./demo.ts";

/** `emulator demo`: runs a mesh of three zones and shows how it behaves. */
export const demoCommand = command({
  name: "demo",
  description:
    "Run three zones of daemons and upstreams and show how they behave",
  args: {
    once: flag({
      long: "once",
      description:
        "End after a short load instead of sending a light load until ctrl-C",
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
