/**
 * Assigns each call to its service class.
 */
import type {ClassId, OperatorConfig} from '@toucanrouter/common';
import {RouterError, toClassId} from '@toucanrouter/common';
import type {ClassifiedCall} from '@toucanrouter/policy';
import {classify} from '@toucanrouter/policy';
import {err} from 'neverthrow';
import type {CallTarget, Exchange, Filter} from './Exchange.js';

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

function requestedClass(exchange: Exchange): ClassId | undefined {
  const name = exchange.headers[classHeader];
  return typeof name === 'string' ? toClassId(name) : undefined;
}

/** Creates the filter that rejects calls to which no class applies. */
export function createClassifyFilter(config: () => OperatorConfig): Filter {
  return async (exchange, next) => {
    const {target} = exchange;
    const call = toClassifiedCall(target, requestedClass(exchange));
    exchange.serviceClass = classify(call, config().classes);
    if (exchange.serviceClass === undefined) {
      const subject = target.kind === 'engine' ? 'model' : 'service';
      const message = `no class of work is configured for ${subject} "${target.serves}" with this method and path`;
      return err(new RouterError('not_found', message));
    }
    return next();
  };
}
