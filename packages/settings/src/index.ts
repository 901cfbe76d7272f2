export type {InstanceSettings, ListenAddress} from './InstanceSettings.js';
