/** Event log: bunyan records written as one line of key=value pairs. */
import bunyan from 'bunyan';
import type {EventLog, Fields} from './context.js';

/** Fields that bunyan adds to each record and that one process repeats. */
const OMITTED = new Set(['v', 'pid', 'hostname', 'msg', 'time', 'level']);

function quoted(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats a bunyan record. Values with spaces or quotes are JSON strings. */
export function formatRecord(record: Record<string, unknown>): string {
  const level = bunyan.nameFromLevel[Number(record['level'])];
  const time = (record['time'] as Date).toISOString();
  const fields = Object.entries(record)
    .filter(([key]) => !OMITTED.has(key))
    .map(([key, value]) => `${key}=${quoted(value)}`);
  return [`time=${time}`, `level=${level}`, ...fields].join(' ');
}

/** Creates the event log of a node; lines go to `write`. */
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
    debug: (event, fields: Fields = {}) => logger.debug({event, ...fields}),
    info: (event, fields: Fields = {}) => logger.info({event, ...fields}),
    warn: (event, fields: Fields = {}) => logger.warn({event, ...fields}),
    error: (event, fields: Fields = {}) => logger.error({event, ...fields}),
  };
}
