/**
 * Assigns each call to its service class.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {ClassId, OperatorConfig, ServiceClass} from '@toucanrouter/common';
import {RouterError, toClassId} from '@toucanrouter/common';
import type {ClassifiedCall} from '@toucanrouter/policy';
import {classify} from '@toucanrouter/policy';
import {err} from 'neverthrow';
import type {CallTarget, Filter} from './Exchange.js';

const classHeader = 'x-service-class';

function toClassifiedCall(
  target: CallTarget,
  classId?: ClassId,
): ClassifiedCall {
  if (target.kind === 'engine') {
    return {kind: 'model', model: target.serves, classId};
  }
  const path = target.path.split('?')[0] ?? '/';
  const {method, serves} = target;
  return {kind: 'service', service: serves, method, path, classId};
}

/** Returns the class that the caller names, whether it exists or not. */
export function requestedClassId(
  headers: IncomingHttpHeaders,
): ClassId | undefined {
  const name = headers[classHeader];
  return typeof name === 'string' ? toClassId(name) : undefined;
}

/** Returns the class of a call; undefined if none applies. */
export function classifyTarget(
  target: CallTarget,
  headers: IncomingHttpHeaders,
  classes: readonly ServiceClass[],
): ServiceClass | undefined {
  const call = toClassifiedCall(target, requestedClassId(headers));
  return classify(call, classes);
}

/** Creates the filter that rejects calls to which no class applies. */
export function createClassifyFilter(config: () => OperatorConfig): Filter {
  return async (exchange, next) => {
    const {headers, target} = exchange;
    exchange.serviceClass = classifyTarget(target, headers, config().classes);
    if (exchange.serviceClass === undefined) {
      const subject = target.kind === 'engine' ? 'model' : 'service';
      const message = `no class of work is configured for ${subject} "${target.serves}" with this method and path`;
      return err(new RouterError('not_found', message));
    }
    return next();
  };
}
