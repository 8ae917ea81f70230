/** Child processes that print one line of JSON once they listen, followed by log lines. */
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';

/** Time within which a process must print its first line, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
/** Conventional exit code for a process terminated by SIGTERM (128 + 15). */
const SIGTERM_EXIT_CODE = 143;
/** Maximum number of log lines kept per process; older ones are dropped. */
const MAX_LOG_LINES = 20_000;

/** Signals that tests and drills send. */
export type Signal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** A child process that has printed its first line. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  /** The first line of output, parsed as JSON. Holds the addresses and ports. */
  readonly startMessage: Readonly<Record<string, unknown>>;
  /** Lines of stdout and stderr after the first line of stdout, oldest first. */
  lines(): readonly string[];
  signal(signal: Signal): void;
  isRunning(): boolean;
  /** Resolves to the exit code, or to null if a signal terminated the process. */
  readonly exited: Promise<number | null>;
}

/** IDs of the child processes that have not exited. */
const runningPids = new Set<number>();

// If this process exits without close(), its children would keep running and keep their ports.
process.on('exit', () => {
  for (const pid of runningPids) process.kill(pid, 'SIGKILL');
});
// The test runner sends SIGTERM to a test file that exceeds its timeout. By default, SIGTERM runs no
// exit handlers.
process.once('SIGTERM', () => process.exit(SIGTERM_EXIT_CODE));

/**
 * Starts a Node.js program. Rejects if it exits or times out before its first line, or if that
 * line is not JSON.
 */
export function startChild(
  name: string,
  args: readonly string[],
): Promise<Child> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {pid} = child;
    if (pid === undefined) {
      child.on('error', reject);
      return;
    }
    runningPids.add(pid);
    const lines: string[] = [];
    const appendLine = (line: string) => {
      lines.push(line);
      if (lines.length > MAX_LOG_LINES) lines.shift();
    };
    const fail = (reason: string) => {
      child.kill('SIGKILL');
      reject(new Error(`${name} ${reason}: ${lines.slice(-5).join('; ')}`));
    };
    const timer = setTimeout(
      () => fail(`printed no start line within ${START_TIMEOUT_MS} ms`),
      START_TIMEOUT_MS,
    );
    const exited = new Promise<number | null>(resolveExit => {
      child.on('close', code => {
        runningPids.delete(pid);
        clearTimeout(timer);
        fail(`exited with code ${code}`);
        resolveExit(code);
      });
    });
    const output = createInterface(child.stdout);
    createInterface(child.stderr).on('line', appendLine);
    output.once('line', line => {
      output.on('line', appendLine);
      clearTimeout(timer);
      const startMessage = parseLine(line);
      if (startMessage === undefined) {
        appendLine(line);
        fail('printed a first line that is not JSON');
        return;
      }
      resolve({
        name,
        pid,
        startMessage,
        lines: () => [...lines],
        signal: signal => void child.kill(signal),
        isRunning: () => runningPids.has(pid),
        exited,
      });
    });
  });
}

/** Kills a process, even one paused by SIGSTOP, and waits until it has exited. */
export async function killChild(child: Child): Promise<void> {
  if (child.isRunning()) child.signal('SIGKILL');
  await child.exited;
}

function parseLine(line: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
