/**
 * Generates operators' configurations with a given number of workspaces.
 */
import {createHash} from 'node:crypto';
import type {StoredConfig} from '@toucanrouter/common';

const classesText = [1, 2, 3, 4]
  .map(
    tier => `[class.tier-${tier}]
priority = ${tier}
target_first_token = 400ms
target_token_gap = 33ms
idempotent = yes
max_wait = ${tier * 10}s
models = ${Array.from({length: 9}, (_, i) => `model-${i}`).join(', ')}
${tier === 1 ? '' : 'only_when_named = yes\n'}`,
  )
  .join('\n');

/** Returns the API key of a workspace. */
export function sampleKey(workspace: number): string {
  return `key-workspace-${workspace}`;
}

function workspaceText(workspace: number): string {
  const hash = createHash('sha256').update(sampleKey(workspace)).digest('hex');
  return `[workspace.workspace-${workspace}]\nkey_sha256 = ${hash}\n`;
}

/** Returns a configuration of 4 classes and `workspaces` workspaces. */
export function sampleConfig(
  workspaces: number,
  version: number,
): StoredConfig {
  const texts = Array.from({length: workspaces}, (_, i) => workspaceText(i));
  return {
    version,
    writeId: 'router-117-00112233445566778899aabb',
    author: 'operator',
    changedAtWallMs: 1_764_800_000_000,
    classesText: [classesText, ...texts].join('\n'),
    drainedUpstreams: [],
  };
}
