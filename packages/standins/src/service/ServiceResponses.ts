/**
 * Responses of the plain service stand-in as a pure function of the request, so
 * that the test oracle can recompute them.
 */
import {hash64} from '@toucanrouter/common';

/** The parts of a request that determine its response. */
export interface ServiceCall {
  readonly method: string;
  /** Path and query as received by the service. */
  readonly path: string;
  readonly body: string;
}

export interface ServiceResponse {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly request_key: string;
  readonly answer: string;
}

/** Error type of the response to a refused call. */
export const serviceRefusalType = 'service_refused';

/** Response body of a call that the service refuses and does not run. */
export const serviceRefusal = JSON.stringify({
  error: {message: 'the service refuses calls', type: serviceRefusalType},
});

/** Returns a hash of a call; equal calls have equal keys. */
export function callKeyOf(call: ServiceCall): string {
  const text = JSON.stringify([call.method, call.path, call.body]);
  return hash64(text).toString(16).padStart(16, '0');
}

/** Returns the response body of a service to a call. */
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
