/**
 * Short hashes of ids, which keep load reports small.
 */
import type {ServiceName, UpstreamId} from '@toucanrouter/common';
import {hash32} from '@toucanrouter/common';

declare const shortIdBrand: unique symbol;
declare const upstreamShortIdBrand: unique symbol;
declare const serviceShortIdBrand: unique symbol;
declare const prefixHashBrand: unique symbol;

/** Hash of an instance's id, which identifies the instance in reports. */
export type ShortId = number & {readonly [shortIdBrand]: true};
/** Short hash of an upstream's id; a report contains many of them. */
export type UpstreamShortId = number & {readonly [upstreamShortIdBrand]: true};
/** Short hash of a service's name. */
export type ServiceShortId = number & {readonly [serviceShortIdBrand]: true};
/** Hash of the id of a prompt prefix. */
export type PrefixHash = number & {readonly [prefixHashBrand]: true};

const mask16Bits = 0xffff;

/** Returns the hash of an instance's id. */
export function shortIdOf(id: string): ShortId {
  return hash32(id) as ShortId;
}

/** Returns the hash of an upstream's id; a collision only skews an estimate. */
export function upstreamShortIdOf(id: UpstreamId): UpstreamShortId {
  return (hash32(id) & mask16Bits) as UpstreamShortId;
}

/** Returns the hash of a service's name. */
export function serviceShortIdOf(service: ServiceName): ServiceShortId {
  return (hash32(service) & mask16Bits) as ServiceShortId;
}

/** Returns the hash of the id of a prompt prefix. */
export function prefixHashOf(prefixId: string): PrefixHash {
  return hash32(prefixId) as PrefixHash;
}
