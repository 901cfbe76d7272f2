/**
 * HTTP status codes that matter to all code that forwards responses.
 */

const minStatus = 100;
const maxStatus = 599;

/**
 * Returns whether HTTP defines the class of a status. A response with any other
 * status is broken: neither its meaning nor its framing is known.
 */
export function isResponseStatus(status: number): boolean {
  return status >= minStatus && status <= maxStatus;
}
