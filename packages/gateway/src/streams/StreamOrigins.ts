/**
 * Which software version began a stream. What two versions write does not fit
 * together, so a stream may go on only at the version that began it, also when
 * its caller resumes it at another instance, or after all instances were
 * restarted.
 */
import type {
  ServiceName,
  SoftwareVersion,
  WorkspaceId,
} from '@toucanrouter/common';

/** The service and the version that passed on the first event of a stream. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly softwareVersion: SoftwareVersion;
}

/**
 * Identifies a stream over the attempts of its caller, by the request that
 * brought its first event.
 */
export interface StreamKey {
  readonly workspaceId: WorkspaceId | undefined;
  readonly requestId: string;
}

/** What is known of a stream that a caller resumes. */
export type OriginLookup =
  | {readonly kind: 'known'; readonly origin: StreamOrigin}
  /** Going on would be a guess. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Knows the origins of the streams that callers may still resume. */
export interface StreamOrigins {
  /**
   * Returns whether resumable streams may begin at a version: its presence is
   * known to all instances that streams are resumed at.
   */
  mayBegin(origin: StreamOrigin): boolean;
  /** Records the origin of a stream when its first event is passed on. */
  streamBegan(key: StreamKey, origin: StreamOrigin): void;
  /**
   * Finds the origin of a stream; `services` are those that the caller's route
   * leads to. A stream without a key is known only where all streams have the
   * same origin. Resolves within `timeoutMs`.
   */
  find(
    key: StreamKey | undefined,
    services: readonly ServiceName[],
    timeoutMs: number,
  ): Promise<OriginLookup>;
}
