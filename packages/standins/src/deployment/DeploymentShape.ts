/**
 * Composition of the two deployments that the design page describes.
 */
import type {EngineProfile} from '../engine/EngineConstants.js';

export type DeploymentName = 'plamenik' | 'tkacik';

/** Instances of one plain service. */
export interface ServiceShape {
  readonly service: string;
  readonly count: number;
  readonly workMs: number;
}

/** Processes of a deployment and their placement. */
export interface DeploymentShape {
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly model: string;
  readonly engineCount: number;
  readonly engineProfile: Partial<EngineProfile>;
  readonly services: readonly ServiceShape[];
  readonly routerCount: number;
}

const routerCount = 5;

export const deploymentShapes: Readonly<
  Record<DeploymentName, DeploymentShape>
> = {
  tkacik: {
    region: 'zilina',
    failureDomains: ['zilina-a', 'zilina-b', 'zilina-c', 'zilina-d'],
    model: 'kilt-advisor',
    engineCount: 6,
    engineProfile: {},
    services: [
      {service: 'ordering', count: 4, workMs: 15},
      {service: 'profiles', count: 2, workMs: 5},
    ],
    routerCount,
  },
  plamenik: {
    region: 'slovenia',
    failureDomains: ['ljubljana-a', 'ljubljana-b', 'maribor-a', 'celje-a'],
    model: 'burner-assistant',
    engineCount: 8,
    engineProfile: {},
    services: [{service: 'dispatch', count: 4, workMs: 15}],
    routerCount,
  },
};
