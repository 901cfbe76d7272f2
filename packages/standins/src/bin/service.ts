/**
 * Entry point of the plain service stand-in.
 */
import {parseArgs} from 'node:util';
import {createServiceStandIn} from '../service/ServiceStandIn.js';
import {
  announceReady,
  exitOnSignal,
  numberFlag,
} from '../shared/ProcessUtils.js';

const {values} = parseArgs({
  options: {
    id: {type: 'string', default: 'service-1'},
    service: {type: 'string', default: 'service'},
    port: {type: 'string', default: '0'},
    'list-url': {type: 'string'},
    region: {type: 'string', default: 'local'},
    'failure-domain': {type: 'string', default: 'a'},
    incarnation: {type: 'string'},
    'runs-file': {type: 'string'},
    'work-ms': {type: 'string', default: '15'},
    workers: {type: 'string', default: '8'},
    'ignore-fencing': {type: 'boolean', default: false},
  },
});

const incarnation = values.incarnation;
const service = await createServiceStandIn({
  id: values.id,
  service: values.service,
  port: numberFlag('port', values.port),
  listUrl: values['list-url'],
  region: values.region,
  failureDomain: values['failure-domain'],
  incarnation:
    incarnation === undefined
      ? Date.now()
      : numberFlag('incarnation', incarnation),
  workMs: numberFlag('work-ms', values['work-ms']),
  workers: numberFlag('workers', values.workers),
  ignoreFencing: values['ignore-fencing'],
  runsFile: values['runs-file'],
  onCrash: () => process.exit(1),
});
exitOnSignal(() => service.leave());
announceReady('plain service', service.address);
