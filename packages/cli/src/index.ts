export { runCommand } from "./run/run_command.ts";
