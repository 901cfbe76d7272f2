/**
 * Branded identifiers. Each kind of id is a string at run time and a type of
 * its own at compile time, so that one kind cannot be passed for another.
 */

declare const brand: unique symbol;

type Branded<Name extends string> = string & {readonly [brand]: Name};

/** Names a class of work, as the operators named it. */
export type ClassId = Branded<'ClassId'>;
/** Names one attempt to claim an idempotency key. */
export type ClaimId = Branded<'ClaimId'>;
/** Names a router instance of the fleet. */
export type InstanceId = Branded<'InstanceId'>;
/** Names the permission to run one request on one upstream. */
export type PermitId = Branded<'PermitId'>;
/** Names a request of a caller, through all of its attempts. */
export type RequestId = Branded<'RequestId'>;
/** Names a service that routes lead to. */
export type ServiceName = Branded<'ServiceName'>;
/** Names a set of upstreams that is scheduled as one. */
export type ShardId = Branded<'ShardId'>;
/** Names a model engine or a plain service instance. */
export type UpstreamId = Branded<'UpstreamId'>;
/** Names a workspace whose requests the router serves. */
export type WorkspaceId = Branded<'WorkspaceId'>;

export const toClassId = (value: string): ClassId => value as ClassId;
export const toClaimId = (value: string): ClaimId => value as ClaimId;
export const toInstanceId = (value: string): InstanceId => value as InstanceId;
export const toPermitId = (value: string): PermitId => value as PermitId;
export const toRequestId = (value: string): RequestId => value as RequestId;
export const toServiceName = (value: string): ServiceName =>
  value as ServiceName;
export const toShardId = (value: string): ShardId => value as ShardId;
export const toUpstreamId = (value: string): UpstreamId => value as UpstreamId;
export const toWorkspaceId = (value: string): WorkspaceId =>
  value as WorkspaceId;
