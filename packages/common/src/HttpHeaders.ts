/**
 * Header names of HTTP that every relay treats alike.
 */

/** Headers in lower case that concern one connection and are not passed on. */
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
