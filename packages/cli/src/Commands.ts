/**
 * All commands by id.
 */
import {ConfigApply} from './commands/ConfigApply.js';
import {ConfigCheck} from './commands/ConfigCheck.js';
import {ConfigDiff} from './commands/ConfigDiff.js';
import {ConfigHistory} from './commands/ConfigHistory.js';
import {ConfigShow} from './commands/ConfigShow.js';
import {ReportBurn} from './commands/ReportBurn.js';
import {ReportClasses} from './commands/ReportClasses.js';
import {Requests} from './commands/Requests.js';
import {Status} from './commands/Status.js';
import {UpstreamDrain, UpstreamUndrain} from './commands/UpstreamChange.js';

/** Loaded by `oclif`. */
export const commands = {
  'config:apply': ConfigApply,
  'config:check': ConfigCheck,
  'config:diff': ConfigDiff,
  'config:history': ConfigHistory,
  'config:show': ConfigShow,
  'report:burn': ReportBurn,
  'report:classes': ReportClasses,
  requests: Requests,
  status: Status,
  'upstream:drain': UpstreamDrain,
  'upstream:undrain': UpstreamUndrain,
};
