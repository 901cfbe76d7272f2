export {gossipLinkCount, selectLinks} from './LinkSelection.js';
export type {GossipEntry, MemberRecord, MemberState} from './Member.js';
export type {MemberTable} from './MemberTable.js';
export {createMemberTable, gossipTtlMs, mergeMembers} from './MemberTable.js';
export {
  evictAfterMs,
  gossipEntriesPerHeartbeat,
  gossipTtlMsPerMember,
  minGossipTtlMs,
  suspectAfterMs,
} from './MemberTableConstants.js';
export {ownerOf, rankMembers} from './Rendezvous.js';
