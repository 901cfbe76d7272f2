/**
 * Polls a condition until it holds or a timeout expires.
 */
import {readyPollMs, readyTimeoutMs} from './DeploymentConstants.js';

/** Waits until a condition holds; throws after `readyTimeoutMs`. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + readyTimeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) return;
    await new Promise(resolve => setTimeout(resolve, readyPollMs));
  }
  throw new Error(`${description}: timed out after ${readyTimeoutMs} ms`);
}
