/**
 * Branded identifiers. Each kind of id is a string at run time and a distinct
 * type at compile time, so that one kind cannot be passed as another.
 */

declare const brand: unique symbol;

type Branded<Name extends string> = string & {readonly [brand]: Name};

/** Identifies a service class; the name that operators gave it. */
export type ClassId = Branded<'ClassId'>;
/** Identifies one attempt to claim an idempotency key. */
export type ClaimId = Branded<'ClaimId'>;
/** Identifies a router instance of the fleet. */
export type InstanceId = Branded<'InstanceId'>;
/** Identifies the permission to run one request on one upstream. */
export type PermitId = Branded<'PermitId'>;
/** Identifies a request of a caller across all of its attempts. */
export type RequestId = Branded<'RequestId'>;
/** Identifies a service that routes point to. */
export type ServiceName = Branded<'ServiceName'>;
/** Identifies a set of upstreams that share one scheduler. */
export type ShardId = Branded<'ShardId'>;
/** Identifies a history of the key-value service, within this process. */
export type StoreHistoryId = Branded<'StoreHistoryId'>;
/** Identifies a model engine or an instance of a plain service. */
export type UpstreamId = Branded<'UpstreamId'>;
/** Version of the software that an upstream runs, not of its model's weights. */
export type SoftwareVersion = Branded<'SoftwareVersion'>;
/** Identifies a workspace whose requests the router serves. */
export type WorkspaceId = Branded<'WorkspaceId'>;

export const toClassId = (value: string): ClassId => value as ClassId;
export const toClaimId = (value: string): ClaimId => value as ClaimId;
export const toInstanceId = (value: string): InstanceId => value as InstanceId;
export const toPermitId = (value: string): PermitId => value as PermitId;
export const toRequestId = (value: string): RequestId => value as RequestId;
export const toServiceName = (value: string): ServiceName =>
  value as ServiceName;
export const toShardId = (value: string): ShardId => value as ShardId;
export const toStoreHistoryId = (value: string): StoreHistoryId =>
  value as StoreHistoryId;
export const toUpstreamId = (value: string): UpstreamId => value as UpstreamId;
export const toSoftwareVersion = (value: string): SoftwareVersion =>
  value as SoftwareVersion;
export const toWorkspaceId = (value: string): WorkspaceId =>
  value as WorkspaceId;
