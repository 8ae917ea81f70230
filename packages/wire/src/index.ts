/** Messages and services between balsamnotch processes. */
export * from './gen/balsamnotch_pb.js';
export * from './gen/peers_pb.js';
export * from './gen/placement_pb.js';
