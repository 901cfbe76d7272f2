/**
 * Closes connections on which the body of an answered request does not end.
 * Node.js discards the rest of such a body for as long as bytes arrive, so its
 * caller would keep the connection, and the descriptor, at the price of a byte
 * now and then.
 */
import type {Server} from 'node:http';
import type {Clock} from './Clock.js';

/**
 * Time in which a caller may read an answer that came before the end of its
 * body, and may send the rest to keep the connection.
 */
export const maxUnfinishedBodyMs = 5_000;

/**
 * Closes a connection of `server` whose request was answered, if the body of the
 * request is still not complete some time later.
 */
export function closeUnfinishedBodies(server: Server, clock: Clock): void {
  server.prependListener('request', (message, response) => {
    const {socket} = message;
    response.once('finish', () => {
      if (message.complete) return;
      const cancel = clock.after(maxUnfinishedBodyMs, () => {
        if (!message.complete) socket.destroySoon();
      });
      // A connection may have any number of such requests, one by one.
      const forget = () => {
        cancel();
        socket.off('close', forget);
        message.off('end', forget);
      };
      socket.once('close', forget);
      message.once('end', forget);
    });
  });
}
