import { cutZoneScenario } from "../cut-zone-2.mjs";
import { runScript } from "../stand-ins-2.mjs";

await runScript(
  import.meta.url,
  cutZoneScenario({ method: "POST", network: "127.62" }),
);
