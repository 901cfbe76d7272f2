export type {ConfigChangeResult} from './ConfigChange.js';
export type {
  ConfigChangeRequest,
  ConfigStore,
  ConfigStoreOptions,
} from './ConfigStore.js';
export type {RestoredConfig} from './ConfigRestore.js';
export {createConfigStore} from './ConfigStore.js';
export type {
  InstanceList,
  InstanceListFault,
  ParsedInstanceList,
  RouterPeer,
} from './InstanceListParser.js';
export {parseInstanceList} from './InstanceListParser.js';
export type {
  InstanceListReader,
  InstanceListReaderOptions,
} from './InstanceListReader.js';
export {createInstanceListReader} from './InstanceListReader.js';
export type {KeyValueClientOptions} from './KeyValueClient.js';
export {createKeyValueClient} from './KeyValueClient.js';
export type {KeyValueHandlers, KeyValueMessages} from './KeyValueMessages.js';
export {loadKeyValueProto} from './KeyValueProto.js';
