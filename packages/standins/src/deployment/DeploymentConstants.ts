/**
 * Paths and time limits of deployments.
 */
import {join, resolve} from 'node:path';

/** Root of the repository. */
export const repositoryRoot = resolve(import.meta.dirname, '../../../..');

/** Directory of the built entry points of the stand-ins. */
export const standInBin = join(repositoryRoot, 'packages/standins/dist/bin');

/** The built router daemon. */
export const routerScript = join(
  repositoryRoot,
  'packages/daemon/dist/bin/toucanrouterd.js',
);

/** Directory of the sample files. */
export const samplesDirectory = join(repositoryRoot, 'samples');

/** Directory below which deployments write. */
export const runDirectory = join(repositoryRoot, '.run');

/** Time within which a process must be ready. */
export const readyTimeoutMs = 30_000;

/** Interval of checks for readiness. */
export const readyPollMs = 100;

/** Longer than the longest answer that a stopping router has to finish. */
export const stopTimeoutMs = 60_000;

/** Time within which a killed process must be gone. */
export const killTimeoutMs = 5000;
