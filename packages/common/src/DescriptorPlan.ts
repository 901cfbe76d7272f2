/**
 * Divides the descriptors that a process may open among the connections of its
 * ports and all else: files, and connections to upstreams, the store and peers.
 */
import {readFileSync} from 'node:fs';

/** The connections that each kind of port may hold. */
export interface DescriptorPlan {
  readonly limitCount: number;
  /** Connections of callers. */
  readonly callerCount: number;
  /** Connections at each port for checks and metrics. */
  readonly statusCount: number;
  /** Callers that may still send when their connection was answered and closed. */
  readonly lingeringCallerCount: number;
  /** Connections that may wait to be accepted at the port of callers. */
  readonly waitingCallerCount: number;
  /** The same at each other port. */
  readonly waitingCount: number;
}

/** Descriptors of files and of the runtime, of which small limits hold fewer. */
const fileCount = 200;
const maxFileShare = 0.25;
/** Each request that is served needs one connection to an upstream as well. */
const callerShare = 0.5;
const statusShare = 1 / 16;
/** 3,000 silent connections added 49 MB to a process. */
const connectionBytes = 16 * 1024;
/** Part of the memory limit that the connections of callers may fill. */
const connectionMemoryShare = 0.1;
/** Bytes that the system receives for a connection before they are read. */
const unreadBytes = 128 * 1024;
/** Parts of the memory limit that bytes which are not read may fill. */
const waitingCallerMemoryShare = 0.05;
const waitingMemoryShare = 0.01;
const lingeringMemoryShare = 0.025;
/** Connections that come together are not turned away for a small limit. */
const minUnreadCount = 16;
const limitsFile = '/proc/self/limits';
/** Usual limit of systems that do not show it. */
const defaultLimitCount = 1_024;

/** Divides the descriptors of a process whose memory bounds connections as well. */
export function planDescriptors(
  limitCount: number,
  memoryLimitBytes: number,
): DescriptorPlan {
  const freeCount = limitCount - Math.min(fileCount, limitCount * maxFileShare);
  const maxConnectionCount =
    (memoryLimitBytes * connectionMemoryShare) / connectionBytes;
  const part = (share: number) =>
    Math.max(1, Math.floor(Math.min(freeCount * share, maxConnectionCount)));
  const unreadPart = (share: number) =>
    Math.max(
      minUnreadCount,
      Math.floor((memoryLimitBytes * share) / unreadBytes),
    );
  return {
    limitCount,
    callerCount: part(callerShare),
    statusCount: part(statusShare),
    lingeringCallerCount: unreadPart(lingeringMemoryShare),
    waitingCallerCount: unreadPart(waitingCallerMemoryShare),
    waitingCount: unreadPart(waitingMemoryShare),
  };
}

/** Returns the limit that a table of the operating system shows. */
export function parseDescriptorLimit(table: string): number | undefined {
  const [, text] = /^Max open files +(\d+)/m.exec(table) ?? [];
  return text === undefined ? undefined : Number(text);
}

/**
 * Returns the limit of this process. A setting goes before what the system shows:
 * a platform may bound sockets and files apart, and then shows that of files.
 */
export function descriptorLimit(settingCount?: number): number {
  return settingCount ?? systemLimit();
}

function systemLimit(): number {
  try {
    const table = readFileSync(limitsFile, 'utf8');
    return parseDescriptorLimit(table) ?? defaultLimitCount;
  } catch {
    return defaultLimitCount;
  }
}
