import { runDemo } from "./demo.ts";

void runDemo();
