export type {
  Envelope,
  Envelope__Output as ReceivedEnvelope,
} from './generated/toucanrouter/peer/v1/Envelope.js';
export type {
  Heartbeat,
  Heartbeat__Output as ReceivedHeartbeat,
} from './generated/toucanrouter/peer/v1/Heartbeat.js';
export type {
  Member as WireMember,
  Member__Output as ReceivedMember,
} from './generated/toucanrouter/peer/v1/Member.js';
export type {QuarantineReport__Output as ReceivedQuarantineReport} from './generated/toucanrouter/peer/v1/QuarantineReport.js';
export type {StatedRate} from './generated/toucanrouter/peer/v1/StatedRate.js';
export type {StatedRates__Output as ReceivedStatedRates} from './generated/toucanrouter/peer/v1/StatedRates.js';
export {
  decodeAcquire,
  decodeConfig,
  decodeEffect,
  decodeOutcome,
  decodePermit,
  decodeProgress,
  decodeRelease,
  encodeAcquire,
  encodeConfig,
  encodeEffect,
  encodePermit,
  encodeRelease,
} from './PeerCodec.js';
export type {
  PeerHub,
  PeerHubOptions,
  PeerTarget,
  PeerTraffic,
} from './PeerHub.js';
export {createPeerHub} from './PeerHub.js';
export {encodedSizeBytes} from './PeerProtocol.js';
