/**
 * Engines of two software versions in a soak. Engines write their version into
 * each event, and callers resume streams that broke off, at any instance. Checks
 * that no stream is joined from two versions, and that most streams go on while
 * engines of their version serve.
 */
import {clearTimeout, setTimeout} from 'node:timers';
import {answerHeaders} from '../../review/engine.js';

const versions = ['v1', 'v2'];
const firstEventMs = 40;
const eventGapMs = 35;
const resumedKind = 'fitting-chat';
const maxResumptions = 6;
const minResumptionDelayMs = 20;
const maxResumptionDelayMs = 600;
const refusal = '503';
/** The instance is gone, so the resumption says nothing about it. */
const unreachedOutcomes = new Set(['ECONNREFUSED', 'ECONNRESET']);
const eventPattern = /^id: (\d+)\ndata: (\S+)$/gm;
const minJudgedResumptions = 12;
const minWentOnShare = 0.5;

/** Returns the ids of the events in a text, and the versions that wrote them. */
function eventsOf(text) {
  const events = [...text.matchAll(eventPattern)];
  return {
    ids: events.map(([, id]) => Number(id)),
    versions: events.map(([, , version]) => version),
  };
}

/** Creates the engines' versions and the callers' resumptions. */
export function createVersions({random, onViolation}) {
  const versionByEngine = new Map();
  const streams = new Map();
  const report = {
    resumptions: 0,
    wentOn: 0,
    refused: 0,
    joined: 0,
    judged: 0,
    judgedWentOn: 0,
  };
  let engines = [];
  let closed = false;

  function versionOf(id) {
    return versionByEngine.get(id) ?? versions[0];
  }

  /** Runs a request as a stream of events that name the engine's version. */
  function runModel({message, response, id}) {
    const counts = message.headers['token-counts'] ?? '0,1';
    const [, count] = counts.split(',').map(Number);
    const version = versionOf(id);
    let last = Number(message.headers['last-event-id'] ?? 0);
    let timer = setTimeout(() => {
      response.writeHead(200, {
        ...answerHeaders(message, id),
        'Content-Type': 'text/event-stream',
      });
      const next = () => {
        if (last >= count) {
          response.end();
          return;
        }
        last += 1;
        response.write(`id: ${last}\ndata: ${version}\n\n`);
        timer = setTimeout(next, eventGapMs);
      };
      next();
    }, firstEventMs);
    response.on('close', () => clearTimeout(timer));
  }

  /** Lets the entries of the engines name their versions. */
  function follow(deployment) {
    engines = deployment.engines;
    for (const engine of engines) {
      const entry = engine.entry;
      engine.entry = () =>
        JSON.stringify({...JSON.parse(entry()), version: versionOf(engine.id)});
      deployment.store.set(`servers/${engine.id}`, engine.entry());
    }
  }

  /** True if two engines of a version serve, as the store shows. */
  function isServed(version) {
    const serving = engines.filter(
      ({id, isDown}) => !isDown && versionOf(id) === version,
    );
    return serving.length >= 2;
  }

  function isResumable(call) {
    return call.kind === resumedKind && call.text !== undefined;
  }

  /** Resumes a stream that has broken off, also after a refusal. */
  function resume(call, stream, send) {
    if (closed || stream.resumptions >= maxResumptions) return;
    stream.resumptions += 1;
    const delayMs =
      minResumptionDelayMs +
      random() * (maxResumptionDelayMs - minResumptionDelayMs);
    setTimeout(() => {
      if (closed) return;
      report.resumptions += 1;
      send({
        firstEvent: stream.ids.length + 1,
        originId: stream.originId,
        headers: {
          ...call.headers,
          Resumes: stream.originId,
          'Last-Event-Id': String(stream.ids.at(-1)),
        },
      });
    }, delayMs);
  }

  return {
    report,
    runModel,
    follow,
    /** Gives an engine that starts again one of the versions. */
    draw: engine =>
      versionByEngine.set(
        engine.id,
        versions[Math.floor(random() * versions.length)],
      ),
    /** Handles the end of a call; `send` sends it again to some instance. */
    onEnded: (call, send) => {
      if (!isResumable(call)) return;
      const {ids, versions: writers} = eventsOf(call.text);
      const originId = call.originId ?? call.id;
      const stream = streams.get(originId) ?? {
        originId,
        ids: [],
        writers: new Set(),
        resumptions: 0,
      };
      if (call.originId === undefined && ids.length === 0) return;
      streams.set(originId, stream);
      if (call.originId !== undefined) {
        const [version] = stream.writers;
        if (ids.length > 0) report.wentOn += 1;
        else if (call.outcome === refusal) report.refused += 1;
        if (isServed(version) && !unreachedOutcomes.has(call.outcome)) {
          report.judged += 1;
          if (ids.length > 0) report.judgedWentOn += 1;
        }
      }
      stream.ids.push(...ids);
      for (const writer of writers) stream.writers.add(writer);
      if (stream.writers.size > 1 && !stream.isJoined) {
        stream.isJoined = true;
        report.joined += 1;
        onViolation(
          `the stream ${originId} is joined from ${[...stream.writers].join(' and ')}`,
        );
      }
      if (stream.ids.some((id, index) => id !== index + 1)) {
        onViolation(`the stream ${originId} has a gap or repeats events`);
      }
      if (call.outcome !== '200') resume(call, stream, send);
    },
    close: () => {
      closed = true;
      const wentOnShare = report.judgedWentOn / report.judged;
      if (
        report.judged >= minJudgedResumptions &&
        wentOnShare < minWentOnShare
      ) {
        onViolation(
          `${report.judgedWentOn} of ${report.judged} streams went on that were resumed while two engines of their version served`,
        );
      }
    },
  };
}
