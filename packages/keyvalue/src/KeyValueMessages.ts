/**
 * Generated message types of the protocol under shorter names, for servers of
 * the protocol: requests as received, responses as sent.
 */
import type {Compare__Output} from './generated/etcdserverpb/Compare.js';
import type {DeleteRangeRequest__Output} from './generated/etcdserverpb/DeleteRangeRequest.js';
import type {DeleteRangeResponse} from './generated/etcdserverpb/DeleteRangeResponse.js';
import type {KVHandlers} from './generated/etcdserverpb/KV.js';
import type {LeaseHandlers} from './generated/etcdserverpb/Lease.js';
import type {PutRequest__Output} from './generated/etcdserverpb/PutRequest.js';
import type {PutResponse} from './generated/etcdserverpb/PutResponse.js';
import type {RangeRequest__Output} from './generated/etcdserverpb/RangeRequest.js';
import type {RangeResponse} from './generated/etcdserverpb/RangeResponse.js';
import type {RequestOp__Output} from './generated/etcdserverpb/RequestOp.js';
import type {TxnRequest__Output} from './generated/etcdserverpb/TxnRequest.js';
import type {TxnResponse} from './generated/etcdserverpb/TxnResponse.js';
import type {WatchHandlers} from './generated/etcdserverpb/Watch.js';
import type {WatchCreateRequest__Output} from './generated/etcdserverpb/WatchCreateRequest.js';
import type {WatchRequest__Output} from './generated/etcdserverpb/WatchRequest.js';
import type {WatchResponse} from './generated/etcdserverpb/WatchResponse.js';

export interface KeyValueMessages {
  readonly compare: Compare__Output;
  readonly deleteRange: DeleteRangeRequest__Output;
  readonly deleteRangeResponse: DeleteRangeResponse;
  readonly put: PutRequest__Output;
  readonly putResponse: PutResponse;
  readonly range: RangeRequest__Output;
  readonly rangeResponse: RangeResponse;
  readonly requestOp: RequestOp__Output;
  readonly txn: TxnRequest__Output;
  readonly txnResponse: TxnResponse;
  readonly watch: WatchRequest__Output;
  readonly watchResponse: WatchResponse;
  readonly watchCreate: WatchCreateRequest__Output;
}

/** Handlers that a server of the protocol implements. */
export interface KeyValueHandlers {
  readonly kv: KVHandlers;
  readonly lease: LeaseHandlers;
  readonly watch: WatchHandlers;
}
