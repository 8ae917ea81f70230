/** Exit codes of the binary. */
export const EXIT = {
  ok: 0,
  /** Findings, a revision that is not in force everywhere, or a failed check of a drill. */
  failed: 1,
  /** Wrong command, flag or argument. */
  usage: 2,
  /** A file, node or service could not be reached, so the result is not known. */
  unreachable: 3,
} as const;

/** One of the values of {@link EXIT}. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
