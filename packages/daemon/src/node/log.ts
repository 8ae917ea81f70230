/** Event log that writes each bunyan record as a line of key=value pairs. */
import bunyan from 'bunyan';
import type {EventLog, LogFields} from './context.js';

/**
 * Keys of a bunyan record that are not written as fields: those that are the
 * same in each record of a process, the unused message, and the time and level,
 * which come first in the line.
 */
const OMITTED_KEYS = new Set(['v', 'pid', 'hostname', 'msg', 'time', 'level']);

function quoteIfNeeded(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/**
 * Formats a bunyan record as a line of key=value pairs. Empty values and those
 * with white space, `"` or `=` are written as JSON strings.
 */
export function formatRecord(record: Record<string, unknown>): string {
  const level = bunyan.nameFromLevel[Number(record['level'])];
  const time = (record['time'] as Date).toISOString();
  const fields = Object.entries(record)
    .filter(([key]) => !OMITTED_KEYS.has(key))
    .map(([key, value]) => `${key}=${quoteIfNeeded(value)}`);
  return [`time=${time}`, `level=${level}`, ...fields].join(' ');
}

/** Creates the event log of a node, which passes each line to `write`. */
export function createEventLog(
  name: string,
  level: bunyan.LogLevelString,
  write: (line: string) => void,
): EventLog {
  const logger = bunyan.createLogger({
    name,
    streams: [
      {
        type: 'raw',
        level,
        stream: {
          write: (record: unknown) =>
            write(formatRecord(record as Record<string, unknown>)),
        } as unknown as NodeJS.WritableStream,
      },
    ],
  });
  return {
    debug: (event, fields: LogFields = {}) => logger.debug({event, ...fields}),
    info: (event, fields: LogFields = {}) => logger.info({event, ...fields}),
    warn: (event, fields: LogFields = {}) => logger.warn({event, ...fields}),
    error: (event, fields: LogFields = {}) => logger.error({event, ...fields}),
  };
}
