export {gossipLinkCount, selectLinks} from './LinkSelection.js';
export type {GossipEntry, MemberRecord, MemberState} from './Member.js';
export type {MemberTable} from './MemberTable.js';
export {
  createMemberTable,
  hearsayValidMs,
  mergeMembers,
} from './MemberTable.js';
export {
  forgetAfterMs,
  gossipEntriesPerHeartbeat,
  hearsayValidMsPerMember,
  minHearsayValidMs,
  suspectAfterMs,
} from './MemberTableConstants.js';
export {ownerOf, rankMembers} from './Rendezvous.js';
