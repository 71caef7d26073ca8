export { requestsCommand } from "./requests_command.ts";
