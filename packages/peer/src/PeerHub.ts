/**
 * Links to other instances: one bidirectional gRPC stream for each pair of
 * connected instances. Either side may open it. If both do at the same time,
 * the stream opened by the instance with the lower id is kept and the other one
 * is closed.
 */
import type {Server as TcpServer} from 'node:net';
import {createServer as createTcpServer} from 'node:net';
import type {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import {credentials, Server, ServerCredentials} from '@grpc/grpc-js';
import type {
  Clock,
  InstanceId,
  ListenError,
  ListenTarget,
} from '@toucanrouter/common';
import {listenOnce, RouterError, toInstanceId} from '@toucanrouter/common';
import {ResultAsync} from 'neverthrow';
import type {
  Envelope,
  Envelope__Output,
} from './generated/toucanrouter/peer/v1/Envelope.js';
import type {Heartbeat} from './generated/toucanrouter/peer/v1/Heartbeat.js';
import {
  linkIdleTimeoutMs,
  maxMessageBytes,
  minRedialIntervalMs,
  dialHeadStartMs,
} from './PeerHubConstants.js';
import {PeerService} from './PeerProtocol.js';

/** A peer to keep a link to. */
export interface PeerTarget {
  /** Undefined for a seed address whose instance id is not known yet. */
  readonly instanceId: InstanceId | undefined;
  readonly address: string;
}

export interface PeerHubOptions {
  readonly selfId: InstanceId;
  readonly listen: ListenTarget;
  readonly clock: Clock;
  /**
   * Creates the heartbeat to send. It is also the first message on each link.
   */
  readonly createHeartbeat: () => Heartbeat;
  readonly onEnvelope: (from: InstanceId, envelope: Envelope__Output) => void;
  /** Called with errors of the open listener, which stays open. */
  readonly onListenerError?: (error: ListenError) => void;
}

/** Totals since the hub was created. */
export interface PeerTraffic {
  readonly sentMessages: number;
  readonly receivedMessages: number;
}

/** Manages the links of one instance. */
export interface PeerHub {
  /** Port that the hub listens on. */
  readonly port: number;
  /** Opens links to these peers and closes the outbound links to all others. */
  setTargets(targets: readonly PeerTarget[]): void;
  /** Returns false if there is no link to the peer. */
  send(to: InstanceId, envelope: Envelope): boolean;
  /** Sends a heartbeat on every link and closes links that time out. */
  sendHeartbeats(): void;
  linkedPeers(): readonly InstanceId[];
  traffic(): PeerTraffic;
  close(): void;
}

interface Link {
  readonly openedBySelf: boolean;
  /** Undefined for an inbound link. */
  readonly address: string | undefined;
  peerId: InstanceId | undefined;
  lastReceivedAtMs: number;
  write(envelope: Envelope): void;
  close(): void;
}

type Stream =
  | ClientDuplexStream<Envelope, Envelope__Output>
  | ServerDuplexStream<Envelope__Output, Envelope>;

/** Creates a hub that listens for inbound links; it tries once to listen. */
export function createPeerHub(
  options: PeerHubOptions,
): ResultAsync<PeerHub, RouterError> {
  const {clock, selfId} = options;
  const links = new Set<Link>();
  /** Time of the last connection attempt, by address. */
  const dialedAtMs = new Map<string, number>();
  /** Start of the wait for peers with a lower id to dial, by address. */
  const firstRequestedAtMs = new Map<string, number>();
  let sentMessages = 0;
  let receivedMessages = 0;
  let closed = false;

  function addLink(
    stream: Stream,
    address: string | undefined,
    closeStream: () => void,
  ): Link {
    const link: Link = {
      openedBySelf: address !== undefined,
      address,
      peerId: undefined,
      lastReceivedAtMs: clock.nowMs(),
      write: envelope => {
        sentMessages += 1;
        (stream as ClientDuplexStream<Envelope, Envelope__Output>).write(
          envelope,
        );
      },
      close: () => {
        links.delete(link);
        closeStream();
      },
    };
    links.add(link);
    stream.on('data', (envelope: Envelope__Output) =>
      handleEnvelope(link, envelope),
    );
    stream.on('error', () => link.close());
    stream.on('end', () => link.close());
    link.write({heartbeat: options.createHeartbeat()});
    return link;
  }

  function handleEnvelope(link: Link, envelope: Envelope__Output): void {
    if (closed) return;
    receivedMessages += 1;
    link.lastReceivedAtMs = clock.nowMs();
    const sender = envelope.heartbeat?.sender;
    if (sender) link.peerId = toInstanceId(sender.instanceId);
    if (link.peerId === undefined) return;
    if (link.peerId === selfId) {
      link.close();
      return;
    }
    if (sender) closeDuplicateLink(link.peerId);
    options.onEnvelope(link.peerId, envelope);
  }

  function closeDuplicateLink(peerId: InstanceId): void {
    const outbound = findLink(peerId, true);
    const inbound = findLink(peerId, false);
    if (outbound !== undefined && inbound !== undefined && peerId < selfId) {
      outbound.close();
    }
  }

  function findLink(
    peerId: InstanceId,
    openedBySelf: boolean,
  ): Link | undefined {
    for (const link of links) {
      if (link.peerId === peerId && link.openedBySelf === openedBySelf) {
        return link;
      }
    }
    return undefined;
  }

  function preferredLink(peerId: InstanceId): Link | undefined {
    const hasLowerId = selfId < peerId;
    return findLink(peerId, hasLowerId) ?? findLink(peerId, !hasLowerId);
  }

  function dial(address: string): void {
    dialedAtMs.set(address, clock.nowMs());
    const client = new PeerService(address, credentials.createInsecure(), {
      'grpc.max_receive_message_length': maxMessageBytes,
      'grpc.use_local_subchannel_pool': 1,
    });
    const stream = client.Exchange();
    addLink(stream, address, () => {
      stream.cancel();
      client.close();
    });
  }

  function mayDial(target: PeerTarget, nowMs: number): boolean {
    const lastDialAtMs = dialedAtMs.get(target.address);
    if (
      lastDialAtMs !== undefined &&
      nowMs - lastDialAtMs < minRedialIntervalMs
    )
      return false;
    for (const link of links) {
      if (link.address === target.address) return false;
      if (target.instanceId && link.peerId === target.instanceId) return false;
    }
    if (target.instanceId === undefined || selfId < target.instanceId) {
      return true;
    }
    const requestedAtMs = firstRequestedAtMs.get(target.address) ?? nowMs;
    firstRequestedAtMs.set(target.address, requestedAtMs);
    return nowMs - requestedAtMs >= dialHeadStartMs;
  }

  function setTargets(targets: readonly PeerTarget[]): void {
    if (closed) return;
    const nowMs = clock.nowMs();
    const targetAddresses = new Set(targets.map(target => target.address));
    for (const target of targets) {
      if (mayDial(target, nowMs)) dial(target.address);
    }
    for (const link of [...links]) {
      if (link.address !== undefined && !targetAddresses.has(link.address)) {
        link.close();
      }
    }
    for (const address of [...dialedAtMs.keys()]) {
      if (!targetAddresses.has(address)) dialedAtMs.delete(address);
    }
    for (const address of [...firstRequestedAtMs.keys()]) {
      if (!targetAddresses.has(address)) firstRequestedAtMs.delete(address);
    }
  }

  function sendHeartbeats(): void {
    const nowMs = clock.nowMs();
    const heartbeat = options.createHeartbeat();
    for (const link of [...links]) {
      if (nowMs - link.lastReceivedAtMs > linkIdleTimeoutMs) link.close();
      else link.write({heartbeat});
    }
  }

  const server = new Server({
    'grpc.max_receive_message_length': maxMessageBytes,
  });
  server.addService(PeerService.service, {
    Exchange: (stream: ServerDuplexStream<Envelope__Output, Envelope>) => {
      const link = addLink(stream, undefined, () => stream.end());
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
      tcpServer.close();
      server.forceShutdown();
    },
  });

  // The listener is not that of gRPC, which hides the code of an error, keeps
  // the failed attempt for the address, and leaves errors of accept unhandled.
  const injector = server.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  /** A server that is not shut down stays in the registry of gRPC. */
  function shutDown(error: RouterError): RouterError {
    server.forceShutdown();
    return error;
  }
  const tcpServer = createTcpServer(socket =>
    injector.injectConnection(socket),
  );
  const listening = listenForPeers(tcpServer, options.listen);
  return listening.mapErr(shutDown).map(port => {
    // A connection that was not accepted is dialed again by its peer.
    tcpServer.on('error', error => options.onListenerError?.(error));
    return createHub(port);
  });
}

function listenForPeers(
  server: TcpServer,
  target: ListenTarget,
): ResultAsync<number, RouterError> {
  return ResultAsync.fromPromise(
    listenOnce(server, target),
    cause =>
      new RouterError(
        'settings_invalid',
        `cannot listen for peers on ${target.host}:${target.port}: ${(cause as Error).message}`,
        {cause},
      ),
  );
}
