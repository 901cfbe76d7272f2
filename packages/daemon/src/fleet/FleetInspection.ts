/**
 * Asks all instances what they know, for the administration API.
 */
import type {Clock, InstanceId, ShardSnapshot} from '@toucanrouter/common';
import type {Envelope, ReceivedEnvelope} from '@toucanrouter/peer';
import type {ServiceLevelSnapshot} from '@toucanrouter/report';
import type {Fleet} from './Fleet.js';

/** Time within which an instance has to answer. */
const inspectTimeoutMs = 1_000;

/** What each subject is answered with. */
export interface InspectionAnswers {
  readonly shards: readonly ShardSnapshot[];
  readonly levels: ServiceLevelSnapshot;
}

/** What an instance can be asked about. */
export type InspectionSubject = keyof InspectionAnswers;

/** The answer of one instance; undefined when it did not answer in time. */
export interface InstanceAnswer<Subject extends InspectionSubject> {
  readonly instanceId: InstanceId;
  readonly answer: InspectionAnswers[Subject] | undefined;
}

/** Questions to all instances. */
export interface FleetInspection {
  ask<Subject extends InspectionSubject>(
    subject: Subject,
  ): Promise<readonly InstanceAnswer<Subject>[]>;
  /** Handles questions and answers; other messages are left alone. */
  receive(from: InstanceId, envelope: ReceivedEnvelope): void;
}

/** Functions that answer for this instance. */
export type InspectionSources = {
  readonly [Subject in InspectionSubject]: () => InspectionAnswers[Subject];
};

/** Creates the questions and answers of an instance. */
export function createFleetInspection(
  clock: Clock,
  fleet: Pick<Fleet, 'alive' | 'selfId' | 'send'>,
  sources: InspectionSources,
): FleetInspection {
  const waiting = new Map<number, (json: string | undefined) => void>();
  let lastCallId = 0;

  function askOne(
    instanceId: InstanceId,
    subject: InspectionSubject,
  ): Promise<string | undefined> {
    const callId = ++lastCallId;
    return new Promise(resolve => {
      const settle = (json: string | undefined) => {
        undo();
        waiting.delete(callId);
        resolve(json);
      };
      const undo = clock.after(inspectTimeoutMs, () => settle(undefined));
      waiting.set(callId, settle);
      const envelope: Envelope = {inspect: {callId, subject}};
      if (!fleet.send(instanceId, envelope)) settle(undefined);
    });
  }

  async function ask<Subject extends InspectionSubject>(
    subject: Subject,
  ): Promise<readonly InstanceAnswer<Subject>[]> {
    const ids = fleet.alive().map(member => member.instanceId);
    return Promise.all(
      ids.map(async instanceId => {
        if (instanceId === fleet.selfId) {
          return {instanceId, answer: sources[subject]()};
        }
        const json = await askOne(instanceId, subject);
        const answer =
          json === undefined
            ? undefined
            : (JSON.parse(json) as InspectionAnswers[Subject]);
        return {instanceId, answer};
      }),
    );
  }

  function reply(from: InstanceId, callId: number, subject: string): void {
    if (!isSubject(subject, sources)) return;
    const json = JSON.stringify(sources[subject]());
    fleet.send(from, {inspectReply: {callId, json}});
  }

  return {
    ask,
    receive: (from, envelope) => {
      const {inspect, inspectReply} = envelope;
      if (inspect) reply(from, inspect.callId, inspect.subject);
      else if (inspectReply) {
        waiting.get(inspectReply.callId)?.(inspectReply.json);
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
