/**
 * Executes requests of the key-value protocol on the state of the stand-in.
 */
import {status} from '@grpc/grpc-js';
import type {KeyValueMessages} from '@toucanrouter/keyvalue';
import type {
  ChangeWriter,
  KeyRange,
  KeyValueState,
  VersionedEntry,
} from './KeyValueState.js';
import {RevisionError} from './KeyValueState.js';
import type {LeaseTable} from './LeaseTable.js';

type Compare = KeyValueMessages['compare'];
type RequestOp = KeyValueMessages['requestOp'];

/** An error with a gRPC status code, as handlers return it. */
export class StatusError extends Error {
  readonly code: status;
  readonly details: string;

  constructor(code: status, details: string) {
    super(details);
    this.name = 'StatusError';
    this.code = code;
    this.details = details;
  }
}

/** Executes protocol requests; throws `StatusError` on failure. */
export interface TransactionExecutor {
  range(request: KeyValueMessages['range']): KeyValueMessages['rangeResponse'];
  put(request: KeyValueMessages['put']): KeyValueMessages['putResponse'];
  deleteRange(
    request: KeyValueMessages['deleteRange'],
  ): KeyValueMessages['deleteRangeResponse'];
  txn(request: KeyValueMessages['txn']): KeyValueMessages['txnResponse'];
}

export function createTransactionExecutor(
  state: KeyValueState,
  leases: LeaseTable,
): TransactionExecutor {
  function header() {
    return {clusterId: state.clusterId(), revision: state.revision()};
  }

  function range(
    request: KeyValueMessages['range'],
  ): KeyValueMessages['rangeResponse'] {
    const keyRange = toKeyRange(request.key, request.rangeEnd);
    const found = readRange(state, keyRange, request.revision, request.limit);
    return {
      header: header(),
      kvs: found.entries.map(toMessage),
      count: found.count,
      more: found.count > found.entries.length,
    };
  }

  function putWith(
    writer: ChangeWriter,
    request: KeyValueMessages['put'],
  ): void {
    if (request.lease !== 0 && !leases.has(request.lease)) {
      throw new StatusError(status.NOT_FOUND, 'requested lease not found');
    }
    writer.put(request.key.toString(), request.value, request.lease);
  }

  function execute(writer: ChangeWriter, op: RequestOp) {
    if (op.requestPut) {
      putWith(writer, op.requestPut);
      return {responsePut: {header: header()}};
    }
    if (op.requestDeleteRange) {
      const {key, rangeEnd} = op.requestDeleteRange;
      const deleted = writer.remove(toKeyRange(key, rangeEnd));
      return {responseDeleteRange: {header: header(), deleted}};
    }
    if (op.requestRange) return {responseRange: range(op.requestRange)};
    throw new StatusError(status.INVALID_ARGUMENT, 'empty request operation');
  }

  return {
    range,
    put: request => {
      state.commit(writer => putWith(writer, request));
      return {header: header()};
    },
    deleteRange: request => {
      const keyRange = toKeyRange(request.key, request.rangeEnd);
      const deleted = state.commit(writer => writer.remove(keyRange));
      return {header: header(), deleted};
    },
    txn: request => {
      const succeeded = request.compare.every(compare =>
        compareHolds(compare, state.get(compare.key.toString())),
      );
      const ops = succeeded ? request.success : request.failure;
      rejectDuplicateKeys(ops);
      const responses = state.commit(writer =>
        ops.map(op => execute(writer, op)),
      );
      return {header: header(), succeeded, responses};
    },
  };
}

/**
 * Converts a range of the protocol, in which an empty end means a single key.
 */
export function toKeyRange(key: Buffer, rangeEnd: Buffer): KeyRange {
  const start = key.toString();
  return rangeEnd.length === 0
    ? {key: start}
    : {key: start, end: rangeEnd.toString()};
}

/** Converts an entry to the protocol's key-value message. */
export function toMessage(entry: VersionedEntry) {
  return {
    key: Buffer.from(entry.key),
    value: entry.value,
    createRevision: entry.createRevision,
    modRevision: entry.modRevision,
    version: entry.version,
    lease: entry.leaseId,
  };
}

function readRange(
  state: KeyValueState,
  range: KeyRange,
  revision: number,
  limit: number,
) {
  try {
    return state.range(range, revision, limit);
  } catch (error) {
    if (!(error instanceof RevisionError)) throw error;
    throw new StatusError(status.OUT_OF_RANGE, error.message);
  }
}

/** The protocol rejects a transaction that writes the same key twice. */
function rejectDuplicateKeys(ops: readonly RequestOp[]): void {
  const written = new Set<string>();
  for (const op of ops) {
    const key = (op.requestPut ?? op.requestDeleteRange)?.key.toString();
    if (key === undefined) continue;
    if (written.has(key)) {
      const details = 'duplicate key given in txn request';
      throw new StatusError(status.INVALID_ARGUMENT, details);
    }
    written.add(key);
  }
}

/** Evaluates a comparison; an absent key compares as zero. */
function compareHolds(
  compare: Compare,
  entry: VersionedEntry | undefined,
): boolean {
  const {target} = compare;
  if (target === 'VALUE') return valueCompareHolds(compare, entry);
  const [actual, expected] = comparedNumbers(compare, target, entry);
  switch (compare.result) {
    case 'EQUAL':
      return actual === expected;
    case 'NOT_EQUAL':
      return actual !== expected;
    case 'GREATER':
      return actual > expected;
    case 'LESS':
      return actual < expected;
  }
}

/** The value of an absent key equals nothing. */
function valueCompareHolds(
  compare: Compare,
  entry: VersionedEntry | undefined,
): boolean {
  if (entry === undefined) return false;
  const order = Buffer.compare(entry.value, compare.value ?? Buffer.alloc(0));
  switch (compare.result) {
    case 'EQUAL':
      return order === 0;
    case 'NOT_EQUAL':
      return order !== 0;
    case 'GREATER':
      return order > 0;
    case 'LESS':
      return order < 0;
  }
}

function comparedNumbers(
  compare: Compare,
  target: Exclude<Compare['target'], 'VALUE'>,
  entry: VersionedEntry | undefined,
): [actual: number, expected: number] {
  switch (target) {
    case 'VERSION':
      return [entry?.version ?? 0, compare.version ?? 0];
    case 'CREATE':
      return [entry?.createRevision ?? 0, compare.createRevision ?? 0];
    case 'MOD':
      return [entry?.modRevision ?? 0, compare.modRevision ?? 0];
  }
}
