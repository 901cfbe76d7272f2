import {expect} from 'chai';
import fc from 'fast-check';
import type {
  QuarantineReport,
  RequestHash,
  SegmentHash,
  UpstreamStartHash,
} from '@toucanrouter/policy';
import {decodeReport} from '../../peers/LoadReportCodec.js';
import {
  decodeQuarantineReport,
  encodeQuarantineReport,
} from '../../peers/QuarantineCodec.js';

const maxDatagramBytes = 1_200;
const uint32 = fc.nat(0xffffffff);
const segment = uint32.map(hash => hash as SegmentHash);

const reports: fc.Arbitrary<QuarantineReport> = fc.record({
  crashes: fc.array(
    fc.record({
      upstream: uint32.map(hash => hash as UpstreamStartHash),
      ageMs: uint32,
      requests: fc.array(
        fc.record({
          request: uint32.map(hash => hash as RequestHash),
          segments: fc.array(segment, {maxLength: 600}),
        }),
        {minLength: 1, maxLength: 32},
      ),
    }),
    {maxLength: 8},
  ),
  verdicts: fc.array(
    fc.record({
      segment,
      ageMs: uint32,
      evidenceAgeMs: uint32,
      remainingMs: uint32,
    }),
    {maxLength: 40},
  ),
  clearings: fc.array(fc.record({segment, ageMs: uint32}), {maxLength: 40}),
});

/**
 * Joins the parts of split reports, crashes and requests. Segments are listed by
 * crash and request.
 */
function flatten(parts: readonly QuarantineReport[]) {
  const segmentsByRequest: Record<string, SegmentHash[]> = {};
  for (const {ageMs, requests, upstream} of parts.flatMap(
    ({crashes}) => crashes,
  )) {
    for (const {request, segments} of requests) {
      const key = `${upstream} ${ageMs} ${request}`;
      (segmentsByRequest[key] ??= []).push(...segments);
    }
  }
  return {
    segmentsByRequest,
    verdicts: parts.flatMap(({verdicts}) => verdicts),
    clearings: parts.flatMap(({clearings}) => clearings),
  };
}

describe('QuarantineCodec', () => {
  it('splits a report over datagrams of bounded size without loss', () => {
    fc.assert(
      fc.property(reports, report => {
        const datagrams = encodeQuarantineReport(report);
        const decoded = datagrams.map(datagram => {
          expect(datagram.length).to.be.at.most(maxDatagramBytes);
          const part = decodeQuarantineReport(datagram);
          if (part === undefined) throw new Error('a datagram is not valid');
          return part;
        });
        expect(flatten(decoded)).to.deep.equal(flatten([report]));
      }),
      {seed: 3, numRuns: 200},
    );
  });

  it('ignores truncated, overlong and foreign datagrams', () => {
    const [datagram] = encodeQuarantineReport({
      crashes: [],
      verdicts: [],
      clearings: [{segment: 1 as SegmentHash, ageMs: 2}],
    });
    if (datagram === undefined) throw new Error('nothing was encoded');
    expect(decodeQuarantineReport(datagram.subarray(0, -1))).to.equal(
      undefined,
    );
    expect(
      decodeQuarantineReport(
        Buffer.concat([datagram, Buffer.alloc(maxDatagramBytes)]),
      ),
    ).to.equal(undefined);
    expect(decodeQuarantineReport(Buffer.of(7, 1, 2, 3))).to.equal(undefined);
    expect(decodeQuarantineReport(Buffer.alloc(0))).to.equal(undefined);
  });

  it('is not taken for a load report', () => {
    fc.assert(
      fc.property(reports, report => {
        for (const datagram of encodeQuarantineReport(report)) {
          expect(decodeReport(datagram)).to.equal(undefined);
        }
      }),
      {seed: 4, numRuns: 100},
    );
  });
});
