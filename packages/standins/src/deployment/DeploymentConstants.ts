/**
 * Paths and timeouts of deployments.
 */
import {join, resolve} from 'node:path';

export const repositoryRoot = resolve(import.meta.dirname, '../../../..');

/** Directory of the built entry points of the stand-ins. */
export const standInBin = join(repositoryRoot, 'packages/standins/dist/bin');

/** The built router daemon. */
export const routerScript = join(
  repositoryRoot,
  'packages/daemon/dist/bin/toucanrouterd.js',
);

export const samplesDirectory = join(repositoryRoot, 'samples');

/** Parent directory of the files that deployments write. */
export const runDirectory = join(repositoryRoot, '.run');

/** Timeout for a process to become ready. */
export const readyTimeoutMs = 30_000;

export const readyPollMs = 100;

/** Exceeds the longest response that a stopping router has to finish. */
export const stopTimeoutMs = 60_000;

/** Timeout for a killed process to exit. */
export const killTimeoutMs = 5000;
