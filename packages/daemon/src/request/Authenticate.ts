/**
 * Authenticates calls by the key of their workspace.
 */
import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import type {OperatorConfig, WorkspaceId} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
import {err} from 'neverthrow';
import type {Filter} from './Exchange.js';

const bearerPattern = /^Bearer +(\S+)$/i;

/** Looks up workspaces by the hash of their key. */
export interface WorkspaceKeys {
  /** Replaces all keys by those of a new configuration. */
  apply(config: OperatorConfig): void;
  find(key: string): WorkspaceId | undefined;
}

/** Creates an empty key table. */
export function createWorkspaceKeys(): WorkspaceKeys {
  let byHash = new Map<string, WorkspaceId>();
  return {
    apply: config => {
      byHash = new Map(config.workspaces.map(w => [w.keySha256, w.id]));
    },
    // The timing of a lookup by hash reveals nothing about the stored keys.
    find: key => byHash.get(createHash('sha256').update(key).digest('hex')),
  };
}

/** Returns the key that a caller sends. */
function keyOf({authorization}: IncomingHttpHeaders): string | undefined {
  return bearerPattern.exec(authorization ?? '')?.[1];
}

/** Returns whether a caller sends a valid key. */
export function isKnownCaller(
  keys: WorkspaceKeys,
  headers: IncomingHttpHeaders,
): boolean {
  const key = keyOf(headers);
  return key !== undefined && keys.find(key) !== undefined;
}

/** Creates the filter that rejects calls without a valid workspace key. */
export function createAuthenticateFilter(keys: WorkspaceKeys): Filter {
  return async (exchange, next) => {
    const key = keyOf(exchange.headers);
    const workspaceId = key === undefined ? undefined : keys.find(key);
    if (workspaceId === undefined) {
      const message =
        key === undefined
          ? 'send the workspace key as "Authorization: Bearer <key>"'
          : 'the workspace key is not known';
      return err(new RouterError('unauthenticated', message));
    }
    exchange.workspaceId = workspaceId;
    return next();
  };
}
