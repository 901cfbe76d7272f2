/**
 * Runs the router daemon with the settings that its arguments name.
 */
import {parseArgs} from 'node:util';
import {createSystemClock} from '@toucanrouter/common';
import {handleSignals} from '@toucanrouter/common/signals';
import {loadInstanceSettings, loadWhenWritten} from '@toucanrouter/settings';
import {startDaemon} from '../Daemon.js';
import {createLogger} from '@toucanrouter/logging';

const usage = `Usage: toucanrouterd --settings FILE [--check]

  --settings FILE  settings of this instance (INI)
  --check          check the settings, print every fault, and exit
  --help           show this text

Exit codes: 0 stopped on request or settings valid, 1 failed to start,
2 wrong arguments or settings.`;

const failureExitCode = 1;
const usageErrorExitCode = 2;

function exitWithError(message: string, code: number): never {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}

function parseArguments(): {settingsFile: string; checkOnly: boolean} {
  try {
    const {values} = parseArgs({
      options: {
        settings: {type: 'string'},
        check: {type: 'boolean', default: false},
        help: {type: 'boolean', default: false},
      },
    });
    if (values.help) {
      process.stdout.write(`${usage}\n`);
      process.exit(0);
    }
    if (values.settings === undefined) {
      return exitWithError(
        `--settings is missing\n\n${usage}`,
        usageErrorExitCode,
      );
    }
    return {settingsFile: values.settings, checkOnly: values.check};
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return exitWithError(`${reason}\n\n${usage}`, usageErrorExitCode);
  }
}

const {checkOnly, settingsFile} = parseArguments();
if (checkOnly) {
  const checked = await loadInstanceSettings(settingsFile);
  if (checked.isErr()) {
    exitWithError(checked.error.message, usageErrorExitCode);
  }
  process.stdout.write(`${settingsFile}: settings are valid\n`);
  process.exit(0);
}

const clock = createSystemClock();
const loaded = await loadWhenWritten({
  file: settingsFile,
  clock,
  load: loadInstanceSettings,
});
if (loaded.settings.isErr()) {
  exitWithError(loaded.settings.error.message, usageErrorExitCode);
}
const settings = loaded.settings.value;
const logger = createLogger({
  format: settings.logFormat,
  level: settings.logLevel,
  instanceId: settings.instanceId,
});
if (loaded.waitedMs > 0) {
  const waitedMs = Math.round(loaded.waitedMs);
  logger.warn('the settings file was incomplete at first', {waitedMs});
}
// Without a handler an error of the log's reader, such as its end, would end
// the process or be logged for ever.
for (const stream of [process.stdout, process.stderr]) {
  stream.on('error', () => undefined);
}
const startAborter = new AbortController();
let stopRequested = false;
let stop = (): void => undefined;

function requestStop(): void {
  // Ignores further signals, so that they cannot cut the graceful stop short.
  if (stopRequested) return;
  stopRequested = true;
  startAborter.abort();
  stop();
}

handleSignals((request, signal) => {
  logger.info('signal received', {signal, request});
  // The settings are read once, so a reload changes nothing.
  if (request === 'stop') requestStop();
});

const started = await startDaemon(
  {settings, clock, logger},
  startAborter.signal,
);
if (started.isErr()) {
  if (stopRequested) {
    logger.info('instance has stopped before it was ready');
    process.exit(0);
  }
  logger.error('instance failed to start', {error: started.error.message});
  process.exit(failureExitCode);
}
const daemon = started.value;
stop = () => {
  void daemon.close().then(() => process.exit(0));
};
if (stopRequested) stop();
