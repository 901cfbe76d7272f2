/**
 * HTTP header names that all code which forwards requests treats alike.
 */

/** Lower-case names of headers that are not forwarded to the next hop. */
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
