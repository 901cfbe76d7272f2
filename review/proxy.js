/**
 * A link to the store: passes bytes on between its callers and an address. While
 * the script keeps this process stopped, the link is silent: nothing comes
 * through, and with its short queue of new connections full, the opening packets
 * of further ones are dropped, as on a machine that is cut off.
 *
 * node proxy.js TARGET_HOST TARGET_PORT
 */
import process from 'node:process';
import {connect, createServer} from 'node:net';

const [host, port] = process.argv.slice(2);

const server = createServer(near => {
  const far = connect({host, port: Number(port)});
  near.pipe(far);
  far.pipe(near);
  near.on('error', () => far.destroy());
  far.on('error', () => near.destroy());
  near.on('close', () => far.destroy());
  far.on('close', () => near.destroy());
});
server.listen({host: '127.0.0.1', port: 0, backlog: 1}, () => {
  process.stdout.write(`${server.address().port}\n`);
});
