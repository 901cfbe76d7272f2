/**
 * HTTP header names that matter to all code that forwards requests.
 */

/** Headers, in lower case, that concern one connection; never forwarded. */
export const hopByHopHeaders: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];
