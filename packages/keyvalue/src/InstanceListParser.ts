/**
 * Parser and validation of the instance list, which has the service-discovery
 * JSON format: an array of groups with targets and labels.
 */
import type {InstanceId, UpstreamInfo} from '@toucanrouter/common';
import {
  toInstanceId,
  toSoftwareVersion,
  toUpstreamId,
} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';

/** A router instance in the list. */
export interface RouterPeer {
  readonly instanceId: InstanceId;
  /** `host:port` of the peer server. */
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly incarnation: number;
  readonly leaving: boolean;
}

/** The valid entries of the list. */
export interface InstanceList {
  readonly upstreams: readonly UpstreamInfo[];
  readonly routers: readonly RouterPeer[];
}

/** An invalid entry, which is skipped, and the reason. */
export interface InstanceListFault {
  /** Position in the list, from 0. */
  readonly index: number;
  readonly message: string;
}

export interface ParsedInstanceList {
  readonly list: InstanceList;
  readonly faults: readonly InstanceListFault[];
}

const maxPort = 65_535;
const addressSchema = z
  .string()
  .regex(/^[^\s]+:\d{1,5}$/, 'expected host:port')
  .refine(address => {
    const port = Number(address.slice(address.lastIndexOf(':') + 1));
    return port >= 1 && port <= maxPort;
  }, 'the port is out of range');

const commonLabels = {
  id: z.string().min(1),
  region: z.string().min(1),
  failure_domain: z.string().min(1),
  incarnation: z.coerce.number().int().nonnegative(),
  state: z.enum(['live', 'leaving']),
};

/**
 * Versions are compared, not interpreted. One of another type counts as absent,
 * as it does not keep the upstream from serving.
 */
const softwareVersionSchema = z
  .union([z.string().min(1), z.number().transform(String)])
  .optional()
  .catch(undefined);

const labelsSchema = z.discriminatedUnion('role', [
  z.object({
    ...commonLabels,
    role: z.literal('router'),
    peer_address: addressSchema,
  }),
  z.object({
    ...commonLabels,
    role: z.literal('engine'),
    software_version: softwareVersionSchema,
    model: z.string().min(1),
  }),
  z.object({
    ...commonLabels,
    role: z.literal('service'),
    software_version: softwareVersionSchema,
    service: z.string().min(1),
  }),
]);

const entrySchema = z.object({
  targets: z.array(addressSchema).length(1),
  labels: labelsSchema,
});

type Entry = z.infer<typeof entrySchema>;
type Labels = z.infer<typeof labelsSchema>;
type UpstreamLabels = Exclude<Labels, {role: 'router'}>;

/**
 * Parses a response body. Invalid entries are skipped and reported as faults.
 */
export function parseInstanceList(
  body: unknown,
): Result<ParsedInstanceList, string> {
  if (!Array.isArray(body)) return err('instance list: expected an array');
  const faults: InstanceListFault[] = [];
  const upstreams = new Map<string, UpstreamInfo>();
  const routers = new Map<string, RouterPeer>();
  body.forEach((item, index) => {
    const parsed = entrySchema.safeParse(item);
    if (!parsed.success) {
      faults.push({index, message: describeIssues(parsed.error)});
      return;
    }
    const {labels} = parsed.data;
    if (labels.role === 'router')
      keepNewest(routers, labels.id, toPeer(labels));
    else keepNewest(upstreams, labels.id, toUpstream(parsed.data, labels));
  });
  const list = {
    upstreams: [...upstreams.values()],
    routers: [...routers.values()],
  };
  return ok({list, faults});
}

/**
 * Keeps one entry for each id: the one with the highest incarnation, and among
 * equal incarnations the leaving one, because leaving is never reversed.
 */
function keepNewest<T extends {incarnation: number; leaving: boolean}>(
  entries: Map<string, T>,
  id: string,
  entry: T,
): void {
  const existing = entries.get(id);
  if (existing !== undefined) {
    if (existing.incarnation > entry.incarnation) return;
    if (existing.incarnation === entry.incarnation && existing.leaving) return;
  }
  entries.set(id, entry);
}

function toPeer(labels: Extract<Labels, {role: 'router'}>): RouterPeer {
  return {
    instanceId: toInstanceId(labels.id),
    peerAddress: labels.peer_address,
    region: labels.region,
    failureDomain: labels.failure_domain,
    incarnation: labels.incarnation,
    leaving: labels.state === 'leaving',
  };
}

function toUpstream(entry: Entry, labels: UpstreamLabels): UpstreamInfo {
  return {
    id: toUpstreamId(labels.id),
    kind: labels.role,
    serves: labels.role === 'engine' ? labels.model : labels.service,
    address: entry.targets[0] ?? '',
    region: labels.region,
    failureDomain: labels.failure_domain,
    incarnation: labels.incarnation,
    softwareVersion:
      labels.software_version === undefined
        ? undefined
        : toSoftwareVersion(labels.software_version),
    leaving: labels.state === 'leaving',
  };
}

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
}
