/**
 * Starts a link to the store that can be cut and healed.
 */
import {spawn} from 'node:child_process';
import {connect} from 'node:net';
import {join} from 'node:path';
import process from 'node:process';
import {root, sleep} from './router.js';

/** The queue of new connections holds this many while the link is cut. */
const queueLength = 2;

/** Starts a link to `port` on the loopback address. */
export async function startLink(port) {
  const child = spawn(
    process.execPath,
    [join(root, 'review/proxy.js'), '127.0.0.1', String(port)],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  const ownPort = await new Promise((resolve, reject) => {
    child.stdout.once('data', text => resolve(Number(text)));
    child.once('exit', () => reject(new Error('the link did not start')));
  });
  const fillers = [];
  return {
    port: ownPort,
    cut: async () => {
      child.kill('SIGSTOP');
      for (let count = 0; count < queueLength; count += 1) {
        const filler = connect({host: '127.0.0.1', port: ownPort});
        filler.on('error', () => undefined);
        fillers.push(filler);
      }
      await sleep(20);
    },
    heal: () => {
      child.kill('SIGCONT');
      for (const filler of fillers.splice(0)) filler.destroy();
    },
    stop: () => child.kill('SIGKILL'),
  };
}
