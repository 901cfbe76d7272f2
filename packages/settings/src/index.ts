export type {ClassesFile} from './ClassesFile.js';
export {parseClasses} from './ClassesFile.js';
export type {InstanceSettings, ListenAddress} from './InstanceSettings.js';
export {
  loadInstanceSettings,
  parseInstanceSettings,
} from './InstanceSettingsFile.js';
