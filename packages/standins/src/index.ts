export type {
  ControlledKeyValue,
  PendingCall,
} from './store/ControlledKeyValue.js';
export {createControlledKeyValue} from './store/ControlledKeyValue.js';
export type {CallCounts} from './store/Counters.js';
export type {ListedInstance} from './store/LaggingInstanceList.js';
export type {
  PlatformStandIn,
  PlatformStandInOptions,
} from './store/PlatformStandIn.js';
export {createPlatformStandIn} from './store/PlatformStandIn.js';
export type {SwitchChangeInput, SwitchState} from './store/Switches.js';
export type {ChatMessage} from './engine/Answers.js';
export {answerLengthOf, answerText, lengthMarker} from './engine/Answers.js';
export type {EngineProfile} from './engine/EngineConstants.js';
export type {EngineRunRecord} from './engine/EngineRun.js';
export type {
  EngineStandIn,
  EngineStandInOptions,
} from './engine/EngineStandIn.js';
export {createEngineStandIn} from './engine/EngineStandIn.js';
export type {EngineSwitchChange} from './engine/EngineSwitches.js';
export type {ServiceAnswer, ServiceCall} from './service/ServiceAnswers.js';
export {serviceAnswer} from './service/ServiceAnswers.js';
export type {ServiceRunRecord} from './service/ServiceRuns.js';
export type {
  ServiceStandIn,
  ServiceStandInOptions,
} from './service/ServiceStandIn.js';
export {createServiceStandIn} from './service/ServiceStandIn.js';
export type {ServiceSwitchChange} from './service/ServiceSwitches.js';
