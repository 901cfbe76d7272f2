/**
 * Case 2: one part of a prompt crashes each engine that begins to write an
 * answer on it: the first event is out when the engine ends.
 */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase} from '../case.js';
import {playCrashingPart} from '../crashing.js';

const here = dirname(fileURLToPath(import.meta.url));
const crashDelayMs = 20;

function writeFirstEvent({response}, headers) {
  response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
  response.write(`id: 1\ndata: ${'x'.repeat(40)}\n\n`);
  return crashDelayMs;
}

await runCase(join(here, 'record.txt'), run =>
  playCrashingPart(run, {otherParts: [], beforeCrash: writeFirstEvent}),
);
