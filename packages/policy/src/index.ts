export type {LengthModel} from './LengthModel.js';
export {createLengthModel} from './LengthModel.js';
export type {JobStart, UpstreamTracker} from './UpstreamTracker.js';
export {createUpstreamTracker} from './UpstreamTracker.js';
export type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
export {defaultUpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
