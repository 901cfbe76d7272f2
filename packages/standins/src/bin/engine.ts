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
    'runs-file': {type: 'string'},
    'token-gap-ms': {type: 'string'},
    'knee-jobs': {type: 'string'},
    'batch-limit': {type: 'string'},
    'prefill-ms-per-token': {type: 'string'},
    'resume-window-ms': {type: 'string'},
  },
});

function orDefault(name: string, value: string | undefined, other: number) {
  return value === undefined ? other : numberFlag(name, value);
}

const defaults = defaultEngineProfile;
const engine = await createEngineStandIn({
  id: values.id,
  model: values.model,
  port: numberFlag('port', values.port),
  listUrl: values['list-url'],
  region: values.region,
  failureDomain: values['failure-domain'],
  incarnation: orDefault('incarnation', values.incarnation, Date.now()),
  profile: {
    tokenGapMs: orDefault(
      'token-gap-ms',
      values['token-gap-ms'],
      defaults.tokenGapMs,
    ),
    kneeJobs: orDefault('knee-jobs', values['knee-jobs'], defaults.kneeJobs),
    batchLimit: orDefault(
      'batch-limit',
      values['batch-limit'],
      defaults.batchLimit,
    ),
    prefillMsPerToken: orDefault(
      'prefill-ms-per-token',
      values['prefill-ms-per-token'],
      defaults.prefillMsPerToken,
    ),
    resumeWindowMs: orDefault(
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
