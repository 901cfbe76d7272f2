/**
 * Learns output lengths online, by class and workspace.
 */
import type {ClassId, WorkspaceId} from '@toucanrouter/common';

/** Quantiles of output length in tokens. */
export interface LengthModel {
  observe(classId: ClassId, workspaceId: WorkspaceId, tokens: number): void;
  /** Undefined until enough lengths were seen. */
  quantile(
    classId: ClassId,
    workspaceId: WorkspaceId,
    fraction: number,
  ): number | undefined;
}
