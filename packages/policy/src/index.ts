export type {LengthModel} from './LengthModel.js';
export type {JobStart, UpstreamTracker} from './UpstreamTracker.js';
