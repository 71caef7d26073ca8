export { type CommandResult, EXIT_CODES } from "./exit_codes.ts";
export { runProgram } from "./program.ts";
