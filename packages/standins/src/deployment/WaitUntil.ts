/**
 * Bounded waiting for a condition.
 */
import {readyPollMs, readyTimeoutMs} from './DeploymentConstants.js';

/** Waits until a condition holds; throws when it does not in time. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + readyTimeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) return;
    await new Promise(resolve => setTimeout(resolve, readyPollMs));
  }
  throw new Error(`${description}: not within ${readyTimeoutMs} ms`);
}
