/**
 * Entry point of the model engine stand-in.
 */
import {parseArgs} from 'node:util';
import {defaultEngineProfile} from '../engine/EngineConstants.js';
import {createEngineStandIn} from '../engine/EngineStandIn.js';
import {
  announceReady,
  exitOnSignal,
  numberFlag,
} from '../shared/ProcessUtils.js';

const {values} = parseArgs({
  options: {
    id: {type: 'string', default: 'engine-1'},
    model: {type: 'string', default: 'model'},
    port: {type: 'string', default: '0'},
    'list-url': {type: 'string'},
    region: {type: 'string', default: 'local'},
    'failure-domain': {type: 'string', default: 'a'},
    incarnation: {type: 'string'},
    'software-version': {type: 'string'},
    'runs-file': {type: 'string'},
    'token-gap-ms': {type: 'string'},
    'knee-jobs': {type: 'string'},
    'batch-limit': {type: 'string'},
    'prefill-ms-per-token': {type: 'string'},
    'resume-window-ms': {type: 'string'},
  },
});

function numberFlagOr(
  name: string,
  value: string | undefined,
  defaultValue: number,
) {
  return value === undefined ? defaultValue : numberFlag(name, value);
}

const defaults = defaultEngineProfile;
const engine = await createEngineStandIn({
  id: values.id,
  model: values.model,
  port: numberFlag('port', values.port),
  listUrl: values['list-url'],
  region: values.region,
  failureDomain: values['failure-domain'],
  softwareVersion: values['software-version'],
  incarnation: numberFlagOr('incarnation', values.incarnation, Date.now()),
  profile: {
    tokenGapMs: numberFlagOr(
      'token-gap-ms',
      values['token-gap-ms'],
      defaults.tokenGapMs,
    ),
    kneeJobs: numberFlagOr('knee-jobs', values['knee-jobs'], defaults.kneeJobs),
    batchLimit: numberFlagOr(
      'batch-limit',
      values['batch-limit'],
      defaults.batchLimit,
    ),
    prefillMsPerToken: numberFlagOr(
      'prefill-ms-per-token',
      values['prefill-ms-per-token'],
      defaults.prefillMsPerToken,
    ),
    resumeWindowMs: numberFlagOr(
      'resume-window-ms',
      values['resume-window-ms'],
      defaults.resumeWindowMs,
    ),
  },
  runsFile: values['runs-file'],
  onCrash: () => process.exit(1),
});
exitOnSignal(() => engine.leave());
announceReady('model engine', engine.address);
