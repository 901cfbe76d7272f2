/**
 * Helpers for the entry points of the stand-ins.
 */

/** Parses a numeric flag. */
export function numberFlag(name: string, value: string | undefined): number {
  const number = Number(value);
  if (value === undefined || value === '' || !Number.isFinite(number)) {
    throw new Error(`--${name} must be a number, but is "${value}"`);
  }
  return number;
}

/** Runs `stop` once on SIGTERM or SIGINT and exits with 0 after it. */
export function exitOnSignal(stop: () => Promise<void>): void {
  let stopping = false;
  const onSignal = (): void => {
    if (stopping) return;
    stopping = true;
    void stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

/** Prints the line from which the starting process reads the address. */
export function announceReady(name: string, address: string): void {
  const line = JSON.stringify({msg: `${name} ready`, address});
  process.stdout.write(`${line}\n`);
}
