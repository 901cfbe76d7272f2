/**
 * Classification of requests into the configured classes.
 */
import type {ClassId, ClassMatch, ServiceClass} from '@toucanrouter/common';

/** A request for a model. */
export interface ModelCall {
  readonly kind: 'model';
  readonly model: string;
  /** The class that the caller names. */
  readonly classId?: ClassId;
}

/** A request for a plain service. */
export interface ServiceCall {
  readonly kind: 'service';
  readonly service: string;
  readonly method: string;
  /** Path below the service, with a leading slash. */
  readonly path: string;
  /** The class that the caller names. */
  readonly classId?: ClassId;
}

/** The properties of a request that its class depends on. */
export type ClassifiedCall = ModelCall | ServiceCall;

/**
 * Returns the class that the caller names if that class matches the call,
 * otherwise the first matching class in file order that need not be named. A
 * named class must match the method and path too: otherwise a caller could have
 * an order handled as an idempotent lookup, which may be sent twice.
 */
export function classify(
  call: ClassifiedCall,
  classes: readonly ServiceClass[],
): ServiceClass | undefined {
  const serving = classes.filter(entry => matches(entry.match, call));
  const named = serving.find(entry => entry.id === call.classId);
  return named ?? serving.find(entry => !entry.match.onlyWhenNamed);
}

function matches(match: ClassMatch, call: ClassifiedCall): boolean {
  if (call.kind === 'model') return match.models.includes(call.model);
  if (!match.services.includes(call.service)) return false;
  return matchesMethod(match, call) && matchesPath(match, call);
}

function matchesMethod(match: ClassMatch, call: ServiceCall): boolean {
  if (match.methods.length === 0) return true;
  const method = call.method.toUpperCase();
  return match.methods.some(allowed => allowed.toUpperCase() === method);
}

function matchesPath(match: ClassMatch, call: ServiceCall): boolean {
  if (match.paths.length === 0) return true;
  return match.paths.some(prefix => call.path.startsWith(prefix));
}
