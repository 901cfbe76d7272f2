export type {ClassifiedCall, ModelCall, ServiceCall} from './Classification.js';
export {classify} from './Classification.js';
export type {LengthModel} from './LengthModel.js';
export type {SchedulerParameters} from './SchedulerParameters.js';
export {defaultSchedulerParameters} from './SchedulerParameters.js';
export type {ShardSchedulerOptions} from './SchedulerState.js';
export type {ShardScheduler} from './ShardScheduler.js';
export {createShardScheduler} from './ShardScheduler.js';
export type {JobStart, UpstreamTracker} from './UpstreamTracker.js';
