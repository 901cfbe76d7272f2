/**
 * Case 4: one part of a prompt crashes each engine that begins to write an
 * answer on it. It is the eighteenth part of long conversations; the parts before
 * it are shared with sound requests.
 */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase} from '../case.js';
import {playCrashingPart} from '../crashing.js';

const here = dirname(fileURLToPath(import.meta.url));
const partTokens = 100;

/** The parts of the conversation after the first part of its class. */
const otherParts = Array.from({length: 16}, (_, index) => [
  `c0${index.toString(16).padStart(2, '0')}`,
  partTokens,
]);

await runCase(join(here, 'record.txt'), run =>
  playCrashingPart(run, {otherParts}),
);
