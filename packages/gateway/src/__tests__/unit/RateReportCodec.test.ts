import type {
  ProcessHash,
  RateReport,
  RateServiceHash,
} from '@toucanrouter/policy';
import {maxDemandTiers} from '@toucanrouter/policy';
import {expect} from 'chai';
import fc from 'fast-check';
import {decodeReport} from '../../peers/LoadReportCodec.js';
import {decodeQuarantineReport} from '../../peers/QuarantineCodec.js';
import {
  decodeRateReport,
  encodeRateReport,
} from '../../peers/RateReportCodec.js';
import type {ShortId} from '../../peers/ShortIds.js';

const maxDatagramBytes = 1_200;
const uint32 = fc.nat(0xffffffff);
/** Rates that the format keeps exactly. */
const rate = fc.nat(1_000).map(value => value / 4);

const reports: fc.Arbitrary<RateReport<ShortId>> = fc.record({
  instanceId: uint32.map(hash => hash as ShortId),
  startedAtMs: fc.nat(Number.MAX_SAFE_INTEGER),
  sequence: uint32,
  statements: fc.array(
    fc.record({
      process: uint32.map(hash => hash as ProcessHash),
      perS: rate,
      statedAgeMs: uint32,
      endedAgeMs: fc.option(uint32, {nil: undefined}),
    }),
    {maxLength: 100},
  ),
  demands: fc.array(
    fc.record({
      service: uint32.map(hash => hash as RateServiceHash),
      perS: fc.array(rate, {maxLength: maxDemandTiers}),
    }),
    {maxLength: 100},
  ),
});

function decodeAll(datagrams: readonly Buffer[]) {
  return datagrams.map(datagram => {
    const report = decodeRateReport(datagram);
    if (report === undefined) throw new Error('a datagram is not valid');
    return report;
  });
}

describe('RateReportCodec', () => {
  // Guards against statements that are lost or altered on their way to peers.
  it('returns what was encoded, split over datagrams of bounded size', () => {
    fc.assert(
      fc.property(reports, report => {
        const datagrams = encodeRateReport(report);
        for (const {length} of datagrams) {
          expect(length).to.be.at.most(maxDatagramBytes);
        }
        const parts = decodeAll(datagrams);
        const {demands, statements, ...head} = report;
        for (const part of parts) expect(part).to.include(head);
        expect(parts.flatMap(part => part.statements)).to.deep.equal(
          statements,
        );
        expect(parts.flatMap(part => part.demands)).to.deep.equal(demands);
      }),
    );
  });

  // Guards against bytes of others that become limits or end the process.
  it('ignores whatever is not a report', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 1_500}), bytes => {
        const datagram = Buffer.from(bytes);
        const report = decodeRateReport(datagram);
        if (report !== undefined) {
          expect(encodeRateReport(report)[0]?.readUInt8(0)).to.equal(bytes[0]);
        }
      }),
    );
    const [datagram = Buffer.alloc(0)] = encodeRateReport({
      instanceId: 1 as ShortId,
      startedAtMs: 2,
      sequence: 3,
      statements: [
        {
          process: 4 as ProcessHash,
          perS: 5,
          statedAgeMs: 6,
          endedAgeMs: undefined,
        },
      ],
      demands: [],
    });
    const cut = datagram.subarray(0, datagram.length - 1);
    expect(decodeRateReport(cut)).to.equal(undefined);
    const longer = Buffer.concat([datagram, Buffer.alloc(maxDatagramBytes)]);
    expect(decodeRateReport(longer)).to.equal(undefined);
    for (const perS of [NaN, Infinity, -1]) {
      const changed = Buffer.from(datagram);
      changed.writeDoubleBE(perS, datagram.length - 12);
      expect(decodeRateReport(changed), String(perS)).to.equal(undefined);
    }
  });

  // Guards against older builds that take such a report for one of their own.
  it('is no other kind of report', () => {
    fc.assert(
      fc.property(reports, report => {
        for (const datagram of encodeRateReport(report)) {
          expect(decodeReport(datagram)).to.equal(undefined);
          expect(decodeQuarantineReport(datagram)).to.equal(undefined);
        }
      }),
    );
  });
});
