/**
 * Links to other instances: one bidirectional gRPC stream for each pair that
 * speaks. Either side may open it. When both do at once, the stream opened by
 * the instance with the lower id is used and the other one is closed.
 */
import type {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import {credentials, Server, ServerCredentials} from '@grpc/grpc-js';
import type {Clock, InstanceId} from '@toucanrouter/common';
import {RouterError, toInstanceId} from '@toucanrouter/common';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {
  Envelope,
  Envelope__Output,
} from './generated/toucanrouter/peer/v1/Envelope.js';
import type {Heartbeat} from './generated/toucanrouter/peer/v1/Heartbeat.js';
import {
  closeSilentLinkAfterMs,
  maxMessageBytes,
  redialAfterMs,
  yieldDialForMs,
} from './PeerHubConstants.js';
import {PeerService} from './PeerProtocol.js';

/** Address of a peer to keep a link to. */
export interface PeerTarget {
  /** Undefined for a seed address whose instance is not known yet. */
  readonly instanceId: InstanceId | undefined;
  readonly address: string;
}

/** What a hub needs from its owner. */
export interface PeerHubOptions {
  readonly selfId: InstanceId;
  readonly listen: {readonly host: string; readonly port: number};
  readonly clock: Clock;
  /** The heartbeat to send; it is the first message on each link. */
  readonly createHeartbeat: () => Heartbeat;
  readonly onEnvelope: (from: InstanceId, envelope: Envelope__Output) => void;
}

/** Counters of a hub since it started. */
export interface PeerTraffic {
  readonly sentMessages: number;
  readonly receivedMessages: number;
}

/** The links of one instance. */
export interface PeerHub {
  /** Port on which the hub listens. */
  readonly port: number;
  /** Opens links to these peers and closes own links to others. */
  setTargets(targets: readonly PeerTarget[]): void;
  /** Returns false when there is no link to the peer. */
  send(to: InstanceId, envelope: Envelope): boolean;
  /** Sends a heartbeat on every link and closes silent links. */
  sendHeartbeats(): void;
  linkedPeers(): readonly InstanceId[];
  traffic(): PeerTraffic;
  close(): void;
}

interface Link {
  readonly openedBySelf: boolean;
  /** Address that was dialled; undefined for an inbound link. */
  readonly address: string | undefined;
  peerId: InstanceId | undefined;
  lastHeardAtMs: number;
  write(envelope: Envelope): void;
  close(): void;
}

type Stream =
  | ClientDuplexStream<Envelope, Envelope__Output>
  | ServerDuplexStream<Envelope__Output, Envelope>;

/** Starts listening and returns the hub. */
export function createPeerHub(
  options: PeerHubOptions,
): ResultAsync<PeerHub, RouterError> {
  const {clock, selfId} = options;
  const links = new Set<Link>();
  const dialledAtMs = new Map<string, number>();
  const firstWantedAtMs = new Map<string, number>();
  let sentMessages = 0;
  let receivedMessages = 0;
  let closed = false;

  function attach(
    stream: Stream,
    address: string | undefined,
    end: () => void,
  ): Link {
    const link: Link = {
      openedBySelf: address !== undefined,
      address,
      peerId: undefined,
      lastHeardAtMs: clock.nowMs(),
      write: envelope => {
        sentMessages += 1;
        (stream as ClientDuplexStream<Envelope, Envelope__Output>).write(
          envelope,
        );
      },
      close: () => {
        links.delete(link);
        end();
      },
    };
    links.add(link);
    stream.on('data', (envelope: Envelope__Output) => receive(link, envelope));
    stream.on('error', () => link.close());
    stream.on('end', () => link.close());
    link.write({heartbeat: options.createHeartbeat()});
    return link;
  }

  function receive(link: Link, envelope: Envelope__Output): void {
    if (closed) return;
    receivedMessages += 1;
    link.lastHeardAtMs = clock.nowMs();
    const sender = envelope.heartbeat?.sender;
    if (sender) link.peerId = toInstanceId(sender.instanceId);
    if (link.peerId === undefined) return;
    if (link.peerId === selfId) {
      link.close();
      return;
    }
    if (sender) closeDuplicate(link.peerId);
    options.onEnvelope(link.peerId, envelope);
  }

  function closeDuplicate(peerId: InstanceId): void {
    const own = linkTo(peerId, true);
    const inbound = linkTo(peerId, false);
    if (own !== undefined && inbound !== undefined && peerId < selfId) {
      own.close();
    }
  }

  function linkTo(peerId: InstanceId, openedBySelf: boolean): Link | undefined {
    for (const link of links) {
      if (link.peerId === peerId && link.openedBySelf === openedBySelf) {
        return link;
      }
    }
    return undefined;
  }

  function preferredLink(peerId: InstanceId): Link | undefined {
    const lowerIsSelf = selfId < peerId;
    return linkTo(peerId, lowerIsSelf) ?? linkTo(peerId, !lowerIsSelf);
  }

  function dial(address: string): void {
    dialledAtMs.set(address, clock.nowMs());
    const client = new PeerService(address, credentials.createInsecure(), {
      'grpc.max_receive_message_length': maxMessageBytes,
      'grpc.use_local_subchannel_pool': 1,
    });
    const stream = client.Exchange();
    attach(stream, address, () => {
      stream.cancel();
      client.close();
    });
  }

  function mayDial(target: PeerTarget, nowMs: number): boolean {
    const lastMs = dialledAtMs.get(target.address);
    if (lastMs !== undefined && nowMs - lastMs < redialAfterMs) return false;
    for (const link of links) {
      if (link.address === target.address) return false;
      if (target.instanceId && link.peerId === target.instanceId) return false;
    }
    if (target.instanceId === undefined || selfId < target.instanceId) {
      return true;
    }
    const wantedAtMs = firstWantedAtMs.get(target.address) ?? nowMs;
    firstWantedAtMs.set(target.address, wantedAtMs);
    return nowMs - wantedAtMs >= yieldDialForMs;
  }

  function setTargets(targets: readonly PeerTarget[]): void {
    if (closed) return;
    const nowMs = clock.nowMs();
    const addresses = new Set(targets.map(target => target.address));
    for (const target of targets) {
      if (mayDial(target, nowMs)) dial(target.address);
    }
    for (const link of [...links]) {
      if (link.address !== undefined && !addresses.has(link.address)) {
        link.close();
      }
    }
    for (const address of [...dialledAtMs.keys()]) {
      if (!addresses.has(address)) dialledAtMs.delete(address);
    }
    for (const address of [...firstWantedAtMs.keys()]) {
      if (!addresses.has(address)) firstWantedAtMs.delete(address);
    }
  }

  function sendHeartbeats(): void {
    const nowMs = clock.nowMs();
    const heartbeat = options.createHeartbeat();
    for (const link of [...links]) {
      if (nowMs - link.lastHeardAtMs > closeSilentLinkAfterMs) link.close();
      else link.write({heartbeat});
    }
  }

  const server = new Server({
    'grpc.max_receive_message_length': maxMessageBytes,
  });
  server.addService(PeerService.service, {
    Exchange: (stream: ServerDuplexStream<Envelope__Output, Envelope>) => {
      const link = attach(stream, undefined, () => stream.end());
      stream.on('cancelled', () => link.close());
    },
  });

  const createHub = (port: number): PeerHub => ({
    port,
    setTargets,
    send: (to, envelope) => {
      const link = preferredLink(to);
      if (link === undefined) return false;
      link.write(envelope);
      return true;
    },
    sendHeartbeats,
    linkedPeers: () => {
      const ids = new Set<InstanceId>();
      for (const link of links) {
        if (link.peerId !== undefined) ids.add(link.peerId);
      }
      return [...ids];
    },
    traffic: () => ({sentMessages, receivedMessages}),
    close: () => {
      closed = true;
      for (const link of [...links]) link.close();
      server.forceShutdown();
    },
  });

  const {host, port} = options.listen;
  return bind(server, `${host}:${port}`).map(createHub);
}

function bind(
  server: Server,
  address: string,
): ResultAsync<number, RouterError> {
  return ResultAsync.fromSafePromise(
    new Promise<number | Error>(resolve => {
      server.bindAsync(
        address,
        ServerCredentials.createInsecure(),
        (error, port) => resolve(error ?? port),
      );
    }),
  ).andThen(bound =>
    typeof bound === 'number'
      ? okAsync(bound)
      : errAsync(
          new RouterError(
            'settings_invalid',
            `cannot listen for peers on ${address}: ${bound.message}`,
            {cause: bound},
          ),
        ),
  );
}
