/**
 * Answers of the plain service stand-in as a function of the request.
 */
import {hash64} from '@toucanrouter/common';

/** The parts of a request that its answer depends on. */
export interface ServiceCall {
  readonly method: string;
  /** Path and query as the service received them. */
  readonly path: string;
  readonly body: string;
}

/** The body of an answer. */
export interface ServiceResponse {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly request_key: string;
  readonly answer: string;
}

/** Error type of the answer to a call that a service refuses. */
export const serviceRefusalType = 'service_refused';

/** The answer to a call that a service refuses and does not run. */
export const serviceRefusal = JSON.stringify({
  error: {message: 'the service refuses calls', type: serviceRefusalType},
});

/** Returns the key of a call; equal calls have equal keys. */
export function callKeyOf(call: ServiceCall): string {
  const text = JSON.stringify([call.method, call.path, call.body]);
  return hash64(text).toString(16).padStart(16, '0');
}

/** Returns the answer of a service to a call. */
export function serviceResponse(
  service: string,
  call: ServiceCall,
): ServiceResponse {
  const callKey = callKeyOf(call);
  return {
    service,
    method: call.method,
    path: call.path,
    request_key: callKey,
    answer: hash64(`${service}:${callKey}`).toString(36),
  };
}
