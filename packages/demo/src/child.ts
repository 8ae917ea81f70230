/** Child processes that print one line of JSON when they listen, and log lines after it. */
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';

/** Time for a process to print its first line. */
const START_TIMEOUT_MS = 15_000;
/** Exit code of a process that SIGTERM ended. */
const SIGTERM_EXIT = 143;
/** Log lines kept for each process. */
const MAX_LINES = 20_000;

/** Signals that a test or drill sends. */
export type Signal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** A child process that has printed its first line. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  /** The parsed first line. */
  readonly first: Readonly<Record<string, unknown>>;
  /** Lines of both output streams after the first, oldest first. */
  lines(): readonly string[];
  signal(signal: Signal): void;
  isRunning(): boolean;
  /** Resolves to the exit code, or to null when a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/** Processes of this launcher that have not exited. */
const running = new Set<number>();

// Children of a launcher that exits without close() would keep their ports.
process.on('exit', () => {
  for (const pid of running) process.kill(pid, 'SIGKILL');
});
// The test runner ends a test file that exceeds its time with this signal, which alone runs no exit handler.
process.once('SIGTERM', () => process.exit(SIGTERM_EXIT));

/** Starts a Node.js program. Rejects when it exits or stays silent before its first line. */
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
    running.add(pid);
    const lines: string[] = [];
    const keep = (line: string) => {
      lines.push(line);
      if (lines.length > MAX_LINES) lines.shift();
    };
    const fail = (why: string) => {
      child.kill('SIGKILL');
      reject(new Error(`${name} ${why}: ${lines.slice(-5).join('; ')}`));
    };
    const timer = setTimeout(
      () => fail(`printed no address in ${START_TIMEOUT_MS} ms`),
      START_TIMEOUT_MS,
    );
    const exited = new Promise<number | null>(settle => {
      child.on('close', code => {
        running.delete(pid);
        clearTimeout(timer);
        fail(`exited with code ${code}`);
        settle(code);
      });
    });
    const output = createInterface(child.stdout);
    createInterface(child.stderr).on('line', keep);
    output.once('line', line => {
      output.on('line', keep);
      clearTimeout(timer);
      const first = parseLine(line);
      if (first === undefined) {
        keep(line);
        fail('printed a first line that is not JSON');
        return;
      }
      resolve({
        name,
        pid,
        first,
        lines: () => [...lines],
        signal: signal => void child.kill(signal),
        isRunning: () => running.has(pid),
        exited,
      });
    });
  });
}

/** Ends a process at once, even a stopped one, and waits until it is gone. */
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
