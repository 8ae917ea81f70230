/** Set-up of the server for callers: its address, and properties for which Node.js declares no options. */
import http from 'node:http';
import {splitAddress} from '@balsamnotch/daemon';

/** Length of the system's queue of connections that have not been accepted. */
const ACCEPT_QUEUE = 1_024;

/** Resolves once the server listens at `ip:port`; rejects if it cannot. */
export function listen(server: http.Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: ACCEPT_QUEUE}, resolve);
  });
}

/**
 * Sets the size up to which the server parses heads on new connections, in bytes, above the
 * configured limit, so that `admitHead` decides. Node.js allows 16 KiB by default, and declares the
 * option only for the creation of a server.
 */
export function limitHeads(server: http.Server, maxHeaderBytes: number): void {
  const parsed = server as http.Server & {maxHeaderSize: number};
  parsed.maxHeaderSize = Math.max(http.maxHeaderSize, 2 * maxHeaderBytes);
}

/**
 * Keeps all fields of the heads on new connections, whose size alone is limited. Node.js drops those
 * behind the first 1,000 without an error, though it reads the body by a length among them.
 */
export function keepAllFields(server: http.Server): void {
  server.maxHeadersCount = 0;
}

/** Keeps a connection whose caller ends its half until the answers are complete, see `callerpresence`. */
export function allowHalfClosed(server: http.Server): void {
  (server as http.Server & {httpAllowHalfOpen: boolean}).httpAllowHalfOpen =
    true;
}
