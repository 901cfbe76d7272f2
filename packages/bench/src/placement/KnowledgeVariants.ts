/**
 * Variants of what instances know, which show what each part of it is worth.
 */
import {initialEstimates} from '@toucanrouter/gateway';
import type {EngineModel} from '@toucanrouter/gateway';
import type {KnowledgeVariant} from './FleetSimulation.js';

/** A design with a name. */
export interface NamedVariant {
  readonly name: string;
  readonly variant: KnowledgeVariant;
}

const fixedModel: EngineModel = {
  prefillMs: tokens => tokens * initialEstimates.prefillMsPerToken,
  firstEventMs: tokens =>
    initialEstimates.baseMs + tokens * initialEstimates.prefillMsPerToken,
  idleEventGapMs: () => 30,
  observeFirstEvent: () => undefined,
  observeEventGap: () => undefined,
  estimates: () => initialEstimates,
};

function withKnowledge(
  change: (
    knowledge: Parameters<KnowledgeVariant>[0]['knowledge'],
  ) => Partial<Parameters<KnowledgeVariant>[0]['knowledge']>,
): KnowledgeVariant {
  return ({context}) => {
    const knowledge = {...context.knowledge, ...change(context.knowledge)};
    return {context: {...context, knowledge}, knowledge};
  };
}

export const knowledgeVariants: readonly NamedVariant[] = [
  {name: 'design', variant: instance => instance},
  {
    name: 'regular reports only',
    variant: ({context, knowledge}) => ({
      context: {...context, reportSoon: () => undefined},
      knowledge,
    }),
  },
  {
    name: 'prefixes not shared',
    variant: withKnowledge(({prefixAffinity}) => ({
      prefixAffinity: {
        ...prefixAffinity,
        recordAndReport: prefixAffinity.recordSent,
      },
    })),
  },
  {
    name: 'speed not learned',
    variant: withKnowledge(() => ({engineModel: () => fixedModel})),
  },
];
