export type {ComparedConfig} from './ClassesDifference.js';
export {diffConfigs, durationText} from './ClassesDifference.js';
export type {ClassesFile} from './ClassesFile.js';
export {parseClasses} from './ClassesFile.js';
export type {
  DutyName,
  DutySettings,
  GatewaySettings,
} from './GatewaySettings.js';
export {loadWhenWritten, settledAfterMs} from './FileBeingWritten.js';
export {loadGatewaySettings, parseGatewaySettings} from './GatewaySettings.js';
export type {InstanceSettings, ListenAddress} from './InstanceSettings.js';
export {
  loadInstanceSettings,
  parseInstanceSettings,
} from './InstanceSettingsFile.js';
