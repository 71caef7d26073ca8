declare const TANAGERCOVE_VERSION: string;

/** Version of the program, set by the build from package.json. */
export const PROGRAM_VERSION = TANAGERCOVE_VERSION;
