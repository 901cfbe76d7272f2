/**
 * Utilities for the entry points of the stand-ins.
 */

/** Parses a numeric flag; throws when the value is not a finite number. */
export function numberFlag(name: string, value: string | undefined): number {
  const number = Number(value);
  if (value === undefined || value === '' || !Number.isFinite(number)) {
    throw new Error(`--${name} must be a number, but is "${value}"`);
  }
  return number;
}

/** Runs `stop` once on SIGTERM or SIGINT, then exits with code 0. */
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

/** Prints the JSON line from which the parent process reads the address. */
export function announceReady(name: string, address: string): void {
  const line = JSON.stringify({msg: `${name} ready`, address});
  process.stdout.write(`${line}\n`);
}
