/**
 * Receives the signals of a process from its start on. The default action of
 * most signals ends a process, also one that is still loading its code, so this
 * module is loaded before all others and has an entry of its own.
 */

/** What a signal asks of a process; `none` if it is only to be logged. */
export type SignalRequest = 'none' | 'reload' | 'stop';

/** Receives a signal and what it asks for. */
export type SignalHandler = (
  request: SignalRequest,
  signal: NodeJS.Signals,
) => void;

/**
 * Signals without a meaning here, which end a process by default or, in the
 * case of SIGUSR1, open the debugger of Node.js. Signals that report a fault of
 * the process itself, such as SIGSEGV, keep their default action.
 */
const signalsWithoutRequest: readonly NodeJS.Signals[] = [
  'SIGALRM',
  'SIGIO',
  'SIGPROF',
  'SIGPWR',
  'SIGSTKFLT',
  'SIGUSR1',
  'SIGUSR2',
  'SIGVTALRM',
];
const requests: ReadonlyMap<NodeJS.Signals, SignalRequest> = new Map([
  ['SIGHUP', 'reload'],
  ['SIGINT', 'stop'],
  ['SIGQUIT', 'stop'],
  ['SIGTERM', 'stop'],
  ...signalsWithoutRequest.map(signal => [signal, 'none'] as const),
]);

let handler: SignalHandler | undefined;
const early = new Map<NodeJS.Signals, SignalRequest>();

for (const [signal, request] of requests) {
  process.on(signal, () => {
    if (handler !== undefined) handler(request, signal);
    // Nothing is served yet, so there is nothing to finish.
    else if (request === 'stop') process.exit(0);
    else early.set(signal, request);
  });
}

/** Calls `handle` for each signal, and at once for those that came already. */
export function handleSignals(handle: SignalHandler): void {
  handler = handle;
  for (const [signal, request] of early) handle(request, signal);
  early.clear();
}
