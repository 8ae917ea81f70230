/** Messages and services between balsamnotch processes. */
export * from './gen/balsamnotch_pb.js';
