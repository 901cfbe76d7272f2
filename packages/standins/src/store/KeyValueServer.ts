/**
 * The key-value stand-in as a gRPC server on loopback.
 */
import type {sendUnaryData} from '@grpc/grpc-js';
import {Server, ServerCredentials, status} from '@grpc/grpc-js';
import type {Clock, Undo} from '@toucanrouter/common';
import type {KeyValueHandlers} from '@toucanrouter/keyvalue';
import {loadKeyValueProto} from '@toucanrouter/keyvalue';
import {createCallRunner} from './CallRunner.js';
import type {Counters} from './Counters.js';
import type {KeyValueState, StateCopy} from './KeyValueState.js';
import {createKeyValueState} from './KeyValueState.js';
import {
  createTransactionExecutor,
  StatusError,
} from './KeyValueTransactions.js';
import type {LeaseCopy} from './LeaseTable.js';
import {createLeaseTable} from './LeaseTable.js';
import type {Switches} from './Switches.js';
import {createWatchHandler} from './WatchHandler.js';

export interface KeyValueServerOptions {
  /** Port on loopback; 0 selects a free one. */
  readonly port: number;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly switches: Switches;
}

/** What the service holds at one moment. */
export interface StoreCopy {
  readonly state: StateCopy;
  readonly leases: LeaseCopy;
}

export interface KeyValueServer {
  readonly port: number;
  readonly state: KeyValueState;
  cutWatches(): void;
  copy(): StoreCopy;
  /** Goes back to a copy under a new cluster id and breaks all watches. */
  restore(copy: StoreCopy): void;
  close(): void;
}

/** Leaves room for a value of up to 1 MiB and several keys. */
const maxRequestBytes = 4 * 1024 * 1024;

export async function startKeyValueServer(
  options: KeyValueServerOptions,
): Promise<KeyValueServer> {
  const proto = loadKeyValueProto();
  const state = createKeyValueState();
  const leases = createLeaseTable(state, options.clock);
  const watches = createWatchHandler({...options, state});
  const server = new Server({
    'grpc.max_receive_message_length': maxRequestBytes,
  });
  const run = createCallRunner(options);
  const executor = createTransactionExecutor(state, leases);

  const kv: KeyValueHandlers['kv'] = {
    Range: (call, callback) =>
      run('range', () => executor.range(call.request), callback),
    Put: (call, callback) =>
      run('put', () => executor.put(call.request), callback),
    DeleteRange: (call, callback) =>
      run('deleteRange', () => executor.deleteRange(call.request), callback),
    Txn: (call, callback) =>
      run('txn', () => executor.txn(call.request), callback),
  };

  const lease: KeyValueHandlers['lease'] = {
    LeaseGrant: (call, callback) => {
      const {ID, TTL} = call.request;
      run('leaseGrant', () => grantLease(ID, TTL), callback);
    },
    LeaseRevoke: (call, callback) =>
      run('leaseRevoke', () => revokeLease(call.request.ID), callback),
    LeaseKeepAlive: stream => {
      stream.on('data', ({ID}: {ID: number}) =>
        run('leaseKeepAlive', () => keepAlive(ID), writeTo(stream)),
      );
      stream.on('end', () => stream.end());
    },
  };

  function header() {
    return {clusterId: state.clusterId(), revision: state.revision()};
  }

  function grantLease(id: number, ttlSeconds: number) {
    const granted = leases.grant(id, ttlSeconds);
    if (granted === undefined) {
      const details = 'lease already exists';
      throw new StatusError(status.FAILED_PRECONDITION, details);
    }
    return {header: header(), ID: granted.id, TTL: granted.ttlSeconds};
  }

  function revokeLease(id: number) {
    if (leases.revoke(id)) return {header: header()};
    throw new StatusError(status.NOT_FOUND, 'requested lease not found');
  }

  function keepAlive(id: number) {
    // In this protocol, a time to live of 0 means that the lease has expired.
    const ttlSeconds = leases.keepAlive(id)?.ttlSeconds ?? 0;
    return {header: header(), ID: id, TTL: ttlSeconds};
  }

  server.addService(proto.KV.service, kv);
  server.addService(proto.Lease.service, lease);
  server.addService(proto.Watch.service, {Watch: watches.serve});
  const stopListener: Undo = options.switches.registerOutageListener(
    watches.cutAll,
  );
  const port = await bind(server, options.port);
  return {
    port,
    state,
    cutWatches: watches.cutAll,
    copy: () => ({state: state.copy(), leases: leases.copy()}),
    restore: copy => {
      watches.cutAll();
      leases.restore(copy.leases);
      state.restore(copy.state);
    },
    close: () => {
      stopListener();
      leases.close();
      server.forceShutdown();
    },
  };
}

function writeTo<T>(stream: {
  write(response: T): void;
  emit(event: 'error', error: unknown): void;
}): sendUnaryData<T> {
  return (error, response) => {
    if (error) stream.emit('error', error);
    else if (response) stream.write(response);
  };
}

function bind(server: Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    const address = `127.0.0.1:${port}`;
    server.bindAsync(address, ServerCredentials.createInsecure(), (e, bound) =>
      e ? reject(e) : resolve(bound),
    );
  });
}
