/**
 * Crowds of callers that keep to no limit, for tests of real processes. Each
 * caller holds one connection, opens it again when it is closed, and reads
 * nothing unless its form says so. What the operating system holds for the
 * connections of a port is read from its table of sockets.
 */
import {readdirSync, readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {debuglog} from 'node:util';
import {expect} from 'chai';

/** A kind of misbehavior, as the bytes that one caller sends. */
export interface CrowdForm {
  readonly name: string;
  readonly callerCount: number;
  /** Starts to send on a connection that was just opened. */
  readonly send: (socket: Socket, path: string) => void;
}

/** A process with a port that a crowd calls. */
export interface CrowdedProcess {
  readonly pid: number;
  readonly port: number;
  readonly path: string;
  isRunning(): boolean;
  /** Sends one ordinary request; resolves with whether it was served. */
  isServing(): Promise<boolean>;
}

/** What the machine of a process has. */
export interface MachineLimits {
  readonly limitBytes: number;
  readonly maxDescriptors: number;
}

/** A crowd whose connections are open until it is closed. */
interface Crowd {
  close(): void;
}

/** What a process and its connections hold at one time, or at most. */
interface HeldResources {
  readonly residentBytes: number;
  /** Bytes that were received and not read, or written and not sent. */
  readonly socketBytes: number;
  /** Both at the same time. */
  readonly totalBytes: number;
  readonly descriptorCount: number;
}

/** Follows what a process holds until it is closed. */
interface ResourceWatch {
  /** The largest values until now. */
  peak(): HeldResources;
  close(): void;
}

const host = '127.0.0.1';
/** Shows what was held, with NODE_DEBUG=crowds. */
const log = debuglog('crowds');
const crowdMs = 8_000;
const retryDelayMs = 200;
/** Far above the time that a process needs, also on a busy machine. */
const maxWaitMs = 20_000;
const reopenDelayMs = 100;
const sampleIntervalMs = 50;
const bytesPerKilobyte = 1024;
const hexRadix = 16;
const largeChunkBytes = 60_000;
const largeChunkCount = 16;
/** Below the number of pieces that a body may have whatever their size. */
const smallChunkCount = 16_000;
const extensionBytes = 8_000;
const extendedChunkCount = 100;
const declaredBytes = 90_000_000;
const undeclaredBytes = 20_000_000;
const lengthBytes = 960_000;
const halfClosedBytes = 480_000;
const postBytes = 1_000;
const pipelineBytes = 4_000_000;
const bodyCallerCount = 200;
const pipeliningCallerCount = 40;
const mixedCallerCount = 100;

function chunk(data: string, extension = ''): string {
  return `${data.length.toString(hexRadix)}${extension}\r\n${data}\r\n`;
}

function chunkedHead(path: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

function lengthHead(path: string, bytes: number): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${bytes}\r\n\r\n`;
}

/** Writes `block` until it was sent `totalBytes` long, as fast as it is read. */
function writeRepeatedly(
  socket: Socket,
  block: Buffer,
  totalBytes: number,
  onWritten: () => void = () => undefined,
): void {
  let sentBytes = 0;
  const write = () => {
    while (sentBytes < totalBytes && !socket.destroyed) {
      sentBytes += block.length;
      if (!socket.write(block)) {
        socket.once('drain', write);
        return;
      }
    }
    onWritten();
  };
  write();
}

const largeChunk = Buffer.from(chunk('b'.repeat(largeChunkBytes)));
const smallChunks = Buffer.from(chunk('b').repeat(smallChunkCount));
const extendedChunks = Buffer.from(
  chunk('b', `;x=${'e'.repeat(extensionBytes)}`).repeat(extendedChunkCount),
);
const block = Buffer.alloc(largeChunkBytes, 'b');

/** Chunks that lack only the last one, of no bytes. */
const unfinishedLargeChunks: CrowdForm = {
  name: 'bodies in large chunks, short of their end',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(chunkedHead(path));
    writeRepeatedly(socket, largeChunk, largeChunk.length * largeChunkCount);
  },
};

const unfinishedSmallChunks: CrowdForm = {
  name: 'bodies in chunks of one byte, short of their end',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(chunkedHead(path));
    socket.write(smallChunks);
  },
};

const extendedSmallChunks: CrowdForm = {
  name: 'chunks of one byte with long extensions',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(chunkedHead(path));
    socket.write(extendedChunks);
  },
};

const unfinishedLength: CrowdForm = {
  name: 'bodies one byte short of their length',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(lengthHead(path, lengthBytes + 1));
    writeRepeatedly(socket, block, lengthBytes);
  },
};

/** A caller that still reads, but can send nothing any more. */
const halfClosed: CrowdForm = {
  name: 'bodies whose callers close their side before the end',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(chunkedHead(path));
    writeRepeatedly(socket, largeChunk, halfClosedBytes, () => socket.end());
  },
};

const announcedTooLarge: CrowdForm = {
  name: 'bodies announced far over the limit',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(lengthHead(path, declaredBytes));
    writeRepeatedly(socket, block, declaredBytes);
  },
};

const sentTooLarge: CrowdForm = {
  name: 'bodies far over the limit without a length',
  callerCount: bodyCallerCount,
  send: (socket, path) => {
    socket.write(chunkedHead(path));
    writeRepeatedly(socket, largeChunk, undeclaredBytes);
  },
};

function pipelined(name: string, requestTo: (path: string) => string) {
  return {
    name,
    callerCount: pipeliningCallerCount,
    send: (socket, path) => {
      const request = requestTo(path);
      const count = Math.ceil(largeChunkBytes / request.length);
      writeRepeatedly(
        socket,
        Buffer.from(request.repeat(count)),
        pipelineBytes,
      );
    },
  } satisfies CrowdForm;
}

const pipelinedGets = pipelined(
  'requests without headers sent ahead, their answers unread',
  path => `GET ${path} HTTP/1.1\r\n\r\n`,
);

const pipelinedPosts = pipelined(
  'requests with bodies sent ahead, their answers unread',
  path => `${lengthHead(path, postBytes)}${'b'.repeat(postBytes)}`,
);

/** Each form by itself. */
export const crowdForms: readonly CrowdForm[] = [
  unfinishedLargeChunks,
  unfinishedSmallChunks,
  extendedSmallChunks,
  unfinishedLength,
  halfClosed,
  announcedTooLarge,
  sentTooLarge,
  pipelinedGets,
  pipelinedPosts,
];

/** Crowds of all forms, smaller than each alone. */
export const mixedForms: readonly CrowdForm[] = crowdForms.map(form => ({
  ...form,
  callerCount: Math.min(form.callerCount, mixedCallerCount),
}));

/** Starts the callers of some forms at a port. */
function startCrowd(
  port: number,
  path: string,
  forms: readonly CrowdForm[],
): Crowd {
  const sockets = new Set<Socket>();
  let isClosed = false;

  function open(form: CrowdForm): void {
    if (isClosed) return;
    const socket = connect(port, host, () => form.send(socket, path));
    sockets.add(socket);
    socket.pause();
    socket.on('error', () => undefined);
    socket.once('close', () => {
      sockets.delete(socket);
      setTimeout(() => open(form), reopenDelayMs);
    });
  }

  for (const form of forms) {
    for (let count = 0; count < form.callerCount; count += 1) open(form);
  }
  return {
    close: () => {
      isClosed = true;
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Bytes in the queues of the connections of a local port. */
function socketBytesOf(port: number): number {
  const portText = port.toString(hexRadix).toUpperCase().padStart(4, '0');
  let bytes = 0;
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const [, local = '', , state, queues = ''] = line.trim().split(/\s+/);
    const isListening = state === '0A';
    if (!local.endsWith(`:${portText}`) || isListening) continue;
    for (const queue of queues.split(':')) {
      bytes += Number.parseInt(queue, hexRadix);
    }
  }
  return bytes;
}

function residentBytesOf(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kilobytes) * bytesPerKilobyte;
}

/** Returns undefined once the process has ended. */
function readResources(pid: number, port: number): HeldResources | undefined {
  try {
    const residentBytes = residentBytesOf(pid);
    const socketBytes = socketBytesOf(port);
    return {
      residentBytes,
      socketBytes,
      totalBytes: residentBytes + socketBytes,
      descriptorCount: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return undefined;
  }
}

/** Starts to follow what a process and the connections of its port hold. */
function watchResources(pid: number, port: number): ResourceWatch {
  let peak: HeldResources = {
    residentBytes: 0,
    socketBytes: 0,
    totalBytes: 0,
    descriptorCount: 0,
  };
  const sample = () => {
    const now = readResources(pid, port);
    if (now === undefined) return;
    const larger = (key: keyof HeldResources) => Math.max(peak[key], now[key]);
    peak = {
      residentBytes: larger('residentBytes'),
      socketBytes: larger('socketBytes'),
      totalBytes: larger('totalBytes'),
      descriptorCount: larger('descriptorCount'),
    };
  };
  sample();
  const timer = setInterval(sample, sampleIntervalMs);
  return {
    peak: () => peak,
    close: () => clearInterval(timer),
  };
}

async function waitUntilServing(crowded: CrowdedProcess): Promise<boolean> {
  for (const endMs = performance.now() + maxWaitMs; ;) {
    const isServing = await crowded.isServing();
    if (isServing || performance.now() >= endMs) return isServing;
    await sleep(retryDelayMs);
  }
}

/**
 * Checks that a process outlives a crowd, that it and its connections hold no more
 * than its machine has, and that it serves an ordinary request afterwards.
 */
export async function expectCrowdBorne(
  crowded: CrowdedProcess,
  forms: readonly CrowdForm[],
  {limitBytes, maxDescriptors}: MachineLimits,
): Promise<void> {
  const {pid, port, path} = crowded;
  const watch = watchResources(pid, port);
  const crowd = startCrowd(port, path, forms);
  try {
    await sleep(crowdMs);
    expect(crowded.isRunning()).to.equal(true);
    crowd.close();
    expect(await waitUntilServing(crowded)).to.equal(true);
    expect(crowded.isRunning()).to.equal(true);
    const peak = watch.peak();
    log('%j', peak);
    expect(peak.descriptorCount).to.be.below(maxDescriptors);
    expect(peak.totalBytes).to.be.below(limitBytes);
  } finally {
    crowd.close();
    watch.close();
  }
}
