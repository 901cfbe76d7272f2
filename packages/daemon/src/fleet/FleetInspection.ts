/**
 * Queries the state of all instances for the administration API.
 */
import type {Clock, InstanceId, ShardSnapshot} from '@toucanrouter/common';
import type {Envelope, ReceivedEnvelope} from '@toucanrouter/peer';
import type {ServiceLevelSnapshot} from '@toucanrouter/report';
import type {Fleet} from './Fleet.js';

/** An instance without a response after this time is reported as such. */
const inspectionTimeoutMs = 1_000;

/** Response to each subject of a query. */
export interface InspectionResponses {
  readonly shards: readonly ShardSnapshot[];
  readonly levels: ServiceLevelSnapshot;
}

/** A subject that instances can be queried for. */
export type InspectionSubject = keyof InspectionResponses;

/** The response of one instance; undefined if there was none in time. */
export interface InstanceResponse<Subject extends InspectionSubject> {
  readonly instanceId: InstanceId;
  readonly response: InspectionResponses[Subject] | undefined;
}

/** Queries all instances and responds to their queries. */
export interface FleetInspection {
  query<Subject extends InspectionSubject>(
    subject: Subject,
  ): Promise<readonly InstanceResponse<Subject>[]>;
  /** Handles queries and responses and ignores all other messages. */
  receive(from: InstanceId, envelope: ReceivedEnvelope): void;
}

/** Functions that return the state of this instance. */
export type InspectionSources = {
  readonly [Subject in InspectionSubject]: () => InspectionResponses[Subject];
};

/** Creates the inspection of an instance. */
export function createFleetInspection(
  clock: Clock,
  fleet: Pick<Fleet, 'alive' | 'selfId' | 'send'>,
  sources: InspectionSources,
): FleetInspection {
  const pendingQueries = new Map<number, (json: string | undefined) => void>();
  let lastCallId = 0;

  function queryInstance(
    instanceId: InstanceId,
    subject: InspectionSubject,
  ): Promise<string | undefined> {
    const callId = ++lastCallId;
    return new Promise(resolve => {
      const complete = (json: string | undefined) => {
        undo();
        pendingQueries.delete(callId);
        resolve(json);
      };
      const undo = clock.after(inspectionTimeoutMs, () => complete(undefined));
      pendingQueries.set(callId, complete);
      const envelope: Envelope = {inspect: {callId, subject}};
      if (!fleet.send(instanceId, envelope)) complete(undefined);
    });
  }

  async function query<Subject extends InspectionSubject>(
    subject: Subject,
  ): Promise<readonly InstanceResponse<Subject>[]> {
    const ids = fleet.alive().map(member => member.instanceId);
    return Promise.all(
      ids.map(async instanceId => {
        if (instanceId === fleet.selfId) {
          return {instanceId, response: sources[subject]()};
        }
        const json = await queryInstance(instanceId, subject);
        const response =
          json === undefined
            ? undefined
            : (JSON.parse(json) as InspectionResponses[Subject]);
        return {instanceId, response};
      }),
    );
  }

  function respond(from: InstanceId, callId: number, subject: string): void {
    if (!isSubject(subject, sources)) return;
    const json = JSON.stringify(sources[subject]());
    fleet.send(from, {inspectReply: {callId, json}});
  }

  return {
    query,
    receive: (from, envelope) => {
      const {inspect, inspectReply} = envelope;
      if (inspect) respond(from, inspect.callId, inspect.subject);
      else if (inspectReply) {
        pendingQueries.get(inspectReply.callId)?.(inspectReply.json);
      }
    },
  };
}

function isSubject(
  subject: string,
  sources: InspectionSources,
): subject is InspectionSubject {
  return Object.hasOwn(sources, subject);
}
