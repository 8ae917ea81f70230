/** Datagrams between nodes. */
import dgram from 'node:dgram';
import {splitAddress, type EventLog} from '@balsamnotch/daemon';
import type {GatewayMetrics} from './metrics.js';

/** Socket for datagrams. A datagram may be lost, repeated or reordered. */
export interface DatagramSocket {
  /** Sends a datagram to `ip:port`. A failure is logged, and is like a loss. */
  readonly send: (data: Uint8Array, address: string) => void;
  readonly close: () => void;
}

/** Options of {@link openDatagramSocket}. */
export interface DatagramOptions {
  /** `ip:port` to receive at. */
  readonly listen: string;
  /**
   * Called with each datagram and the `ip:port` of its sender. If it throws, the
   * datagram is counted as invalid.
   */
  readonly onDatagram: (data: Uint8Array, from: string) => void;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Opens a socket; rejects if the address cannot be bound. */
export function openDatagramSocket({
  listen,
  onDatagram,
  log,
  metrics,
}: DatagramOptions): Promise<DatagramSocket> {
  const {host, port} = splitAddress(listen);
  const socket = dgram.createSocket('udp4');
  let isClosed = false;
  const reportFailure = (event: string, error: Error) => {
    metrics.count(event);
    log.warn(event, {message: error.message.slice(0, 120)});
  };
  socket.on('message', (data, from) => {
    try {
      onDatagram(data, `${from.address}:${from.port}`);
    } catch (error) {
      reportFailure('datagram_invalid', error as Error);
    }
  });
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind({address: host, port}, () => {
      socket.off('error', reject);
      socket.on('error', error => reportFailure('datagram_failed', error));
      resolve({
        send: (data, address) => {
          if (isClosed) return;
          const to = splitAddress(address);
          socket.send(data, to.port, to.host, error => {
            if (error) reportFailure('datagram_failed', error);
          });
        },
        close: () => {
          if (isClosed) return;
          isClosed = true;
          socket.close();
        },
      });
    });
  });
}
