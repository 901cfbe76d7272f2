/**
 * Routes claims to the instance that writes their claim shard. A call without a
 * reply fails with an error that says whether it may have taken effect; callers
 * retry it with the current writer until their deadline. Retries are safe:
 * claims and their ends are idempotent by claim id.
 */
import type {
  ClaimEnd,
  ClaimReference,
  ClaimReply,
  ClaimRequest,
  ClaimStore,
  Clock,
  InstanceId,
  RouterError,
} from '@toucanrouter/common';
import {PlatformError, toClaimId, toWorkspaceId} from '@toucanrouter/common';
import type {Envelope, ReceivedEnvelope} from '@toucanrouter/peer';
import {decodeOutcome} from '@toucanrouter/peer';
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

/** A call that receives no reply within this time fails and can be retried. */
const replyTimeoutMs = 1_000;

/** Dependencies of a claim router. */
export interface ClaimRouterOptions {
  readonly clock: Clock;
  readonly selfId: InstanceId;
  /** Claims in the shards that this instance writes. */
  readonly local: ClaimStore;
  /** Returns the instance that writes the claim shard of a key. */
  readonly writerOf: (reference: ClaimReference) => InstanceId;
  readonly send: (to: InstanceId, envelope: Envelope) => boolean;
}

/** A claim store for the whole fleet, which also serves claims for peers. */
export interface ClaimRouter extends ClaimStore {
  /** Handles claim messages and ignores all others. */
  receive(from: InstanceId, envelope: ReceivedEnvelope): void;
}

type ClaimCallResult = Result<ClaimReply | undefined, RouterError>;

/** Creates the claim store of an instance. */
export function createClaimRouter(options: ClaimRouterOptions): ClaimRouter {
  const {clock, local, selfId} = options;
  const pendingCalls = new Map<number, (result: ClaimCallResult) => void>();
  let lastCallId = 0;

  function callRemote(
    to: InstanceId,
    createEnvelope: (callId: number) => Envelope,
  ): Promise<ClaimCallResult> {
    const callId = ++lastCallId;
    return new Promise(resolve => {
      const complete = (result: ClaimCallResult) => {
        undo();
        pendingCalls.delete(callId);
        resolve(result);
      };
      const undo = clock.after(replyTimeoutMs, () =>
        complete(err(noReplyError(to, true))),
      );
      pendingCalls.set(callId, complete);
      if (!options.send(to, createEnvelope(callId))) {
        complete(err(noReplyError(to, false)));
      }
    });
  }

  function claim(request: ClaimRequest): ResultAsync<ClaimReply, RouterError> {
    const writer = options.writerOf(request);
    if (writer === selfId) return local.claim(request);
    const {claimId, idempotencyKey, requestHash, workspaceId} = request;
    const call = callRemote(writer, callId => ({
      claimRequest: {callId, claimId, idempotencyKey, requestHash, workspaceId},
    }));
    return new ResultAsync(
      call.then(result =>
        result.andThen(reply =>
          reply === undefined ? err(noReplyError(writer, true)) : ok(reply),
        ),
      ),
    );
  }

  function end(
    reference: ClaimReference,
    claimEnd: ClaimEnd,
  ): ResultAsync<void, RouterError> {
    const writer = options.writerOf(reference);
    if (writer === selfId) return local.end(reference, claimEnd);
    const outcome =
      claimEnd.kind === 'completed' ? claimEnd.outcome : undefined;
    const call = callRemote(writer, callId => ({
      claimEnd: {callId, ...reference, end: claimEnd.kind, outcome},
    }));
    return new ResultAsync(call).map(() => undefined);
  }

  async function handleClaimRequest(
    from: InstanceId,
    wire: NonNullable<ReceivedEnvelope['claimRequest']>,
  ): Promise<void> {
    const reply = await local.claim({
      claimId: toClaimId(wire.claimId),
      workspaceId: toWorkspaceId(wire.workspaceId),
      idempotencyKey: wire.idempotencyKey,
      requestHash: wire.requestHash,
      owner: from,
    });
    options.send(from, {claimReply: encodeReply(wire.callId, reply)});
  }

  async function handleClaimEnd(
    from: InstanceId,
    wire: NonNullable<ReceivedEnvelope['claimEnd']>,
  ): Promise<void> {
    const reference: ClaimReference = {
      claimId: toClaimId(wire.claimId),
      workspaceId: toWorkspaceId(wire.workspaceId),
      idempotencyKey: wire.idempotencyKey,
    };
    const result = await local.end(reference, decodeEnd(wire));
    const reply = result.map(() => undefined);
    options.send(from, {claimReply: encodeReply(wire.callId, reply)});
  }

  return {
    claim,
    end,
    receive: (from, envelope) => {
      const {claimEnd, claimReply, claimRequest} = envelope;
      if (claimRequest) void handleClaimRequest(from, claimRequest);
      else if (claimEnd) void handleClaimEnd(from, claimEnd);
      else if (claimReply) {
        pendingCalls.get(claimReply.callId)?.(decodeReply(claimReply));
      }
    },
  };
}

function noReplyError(
  from: InstanceId,
  mayHaveTakenEffect: boolean,
): RouterError {
  const message = `instance ${from}, which writes the claim, did not reply`;
  return new PlatformError(message, mayHaveTakenEffect);
}

function encodeReply(
  callId: number,
  reply: ClaimCallResult,
): NonNullable<Envelope['claimReply']> {
  if (reply.isErr()) {
    const {error} = reply;
    const mayHaveTakenEffect =
      error instanceof PlatformError && error.mayHaveTakenEffect;
    return {callId, error: error.message, mayHaveTakenEffect};
  }
  const {value} = reply;
  if (value === undefined) return {callId};
  return {
    callId,
    result: value.kind,
    fencingToken: value.kind === 'claimed' ? value.fencingToken : undefined,
    outcome: value.kind === 'completed' ? value.outcome : undefined,
  };
}

function decodeReply(
  wire: NonNullable<ReceivedEnvelope['claimReply']>,
): ClaimCallResult {
  if (wire.error !== '') {
    return err(new PlatformError(wire.error, wire.mayHaveTakenEffect));
  }
  const outcome = decodeOutcome(wire.outcome);
  switch (wire.result) {
    case 'claimed':
      return ok({kind: 'claimed', fencingToken: wire.fencingToken});
    case 'completed':
      return ok(
        outcome === undefined
          ? {kind: 'outcome_unknown'}
          : {kind: 'completed', outcome},
      );
    case 'in_progress':
    case 'key_reused':
    case 'outcome_unknown':
      return ok({kind: wire.result});
    default:
      return ok(undefined);
  }
}

function decodeEnd(wire: NonNullable<ReceivedEnvelope['claimEnd']>): ClaimEnd {
  const outcome = decodeOutcome(wire.outcome);
  if (wire.end === 'not_sent') return {kind: 'not_sent'};
  if (wire.end === 'completed' && outcome !== undefined) {
    return {kind: 'completed', outcome};
  }
  return {kind: 'outcome_unknown'};
}
