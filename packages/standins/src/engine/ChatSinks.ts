/**
 * Write the events of a run to an HTTP response: as a stream, or as one JSON
 * document once the run has finished.
 */
import type {ServerResponse} from 'node:http';
import {sendJson} from '../shared/HttpUtils.js';
import type {EngineRun, RunSink} from './EngineRun.js';
import type {EngineSwitches, StreamCut} from './EngineSwitches.js';

/** Creates the sink of a streamed response. */
export function createStreamSink(
  response: ServerResponse,
  switches: EngineSwitches,
  loadHeader: string,
  isFresh: boolean,
): RunSink {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'endpoint-load-metrics': loadHeader,
  });
  response.flushHeaders();
  const plannedCut = consumeCut(switches, isFresh);
  let tokensSent = 0;
  let cut = false;

  function cutNow(): void {
    cut = true;
    if (plannedCut?.kind === 'truncate') response.end();
    else response.destroy();
  }

  function writeAndCut(text: string): void {
    cut = true;
    if (plannedCut?.kind === 'truncate') response.end(text);
    // Destroying the connection before the callback would discard the text.
    else response.write(text, () => response.destroy());
  }

  return {
    writeEvent: (text, tokens) => {
      if (cut) return;
      // A planned cut takes effect before the end of the response at the
      // latest.
      const isEnd = tokens === 0 && tokensSent > 0;
      if (plannedCut !== undefined && isEnd) return cutNow();
      tokensSent += tokens;
      if (plannedCut !== undefined && tokensSent >= plannedCut.afterTokens) {
        return writeAndCut(text);
      }
      response.write(text);
    },
    end: () => {
      if (!cut) response.end();
    },
  };
}

interface PlannedCut {
  readonly kind: 'break' | 'truncate';
  readonly afterTokens: number;
}

function cutApplies(cut: StreamCut, isFresh: boolean): boolean {
  return cut.count > 0 && (isFresh || cut.freshOnly !== true);
}

/** Claims one of the stream cuts that remain in the switches. */
function consumeCut(
  switches: EngineSwitches,
  isFresh: boolean,
): PlannedCut | undefined {
  const {breakStreams, truncateStreams} = switches;
  if (cutApplies(breakStreams, isFresh)) {
    breakStreams.count--;
    return {kind: 'break', afterTokens: breakStreams.afterTokens};
  }
  if (cutApplies(truncateStreams, isFresh)) {
    truncateStreams.count--;
    return {kind: 'truncate', afterTokens: truncateStreams.afterTokens};
  }
  return undefined;
}

/** Creates the sink of a non-streaming response. */
export function createBufferedSink(
  response: ServerResponse,
  runOf: () => EngineRun,
  loadHeader: string,
): RunSink {
  return {
    writeEvent: () => undefined,
    end: () => {
      const run = runOf();
      response.setHeader('endpoint-load-metrics', loadHeader);
      const tokens = run.record.generatedTokens;
      sendJson(response, 200, run.format.completion(run.text(), tokens));
    },
  };
}
