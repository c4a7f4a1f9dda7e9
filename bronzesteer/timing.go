package bronzesteer

import "time"

// How long a silence says something, in the order of what follows from it. A caller repeats
// an opening after 200 and 600 ms and gives it up after 1.4 s; it repeats a request after
// 200, 600 and 1,400 ms, up to its deadline.
const (
	// copiesApart is the least time between an opening and its caller's first copy, which
	// is sent 200 ms later. Those that come closer together have waited, here or on the way.
	minRetransmitGap = 100 * time.Millisecond
	// repeatAfter is the least age of data at which its repetition counts as unanswered;
	// copies that a network made come at once.
	minRetransmitAge = 150 * time.Millisecond
	// avoidFirst is for how long new flows avoid a server at first, and avoidMost after it
	// left the flows that tried it again unanswered, too: each trial costs a caller 20 ms.
	minAvoidTime = 1500 * time.Millisecond
	maxAvoidTime = 6 * time.Second
	// tellAfter is how old a finding is before other nodes are told, where there are many.
	// Of openings that are overdue because a link is full for a moment, the answer comes
	// sooner; all nodes would tell each other of each, and again that it was wrong.
	reportDelay = 100 * time.Millisecond
	// askedFor is for how long a server must have left this node itself without an answer
	// for others' findings to end flows there; the reason is that of tellAfter.
	minOwnSilence = reportDelay
	// silentFor is for how long nobody may have been answered by a server before its flows
	// are ended: one with a full queue goes on answering others every few milliseconds.
	minSilence = 350 * time.Millisecond
	// busyFor is the same where what it left unanswered is mostly requests. A server takes
	// openings at once whatever it has to do, but the last of a full queue waits for all
	// before it, twice as long at a server that has just started.
	minSilenceBusy = 500 * time.Millisecond
	// aloneFor is the same where there are other nodes, none has said so, too, and it is
	// less than aloneProof that speaks for it: what a node sends through its own link
	// reaches nobody while that is full.
	minSilenceAlone = 1200 * time.Millisecond
	// newsStep is how long a step takes by which news gets from nodes to newsFanout others
	// each where there are many, and newsLeast the least time for all steps. Before that,
	// and as long again for what contradicts it, the findings of others end no flow: acted
	// upon at once, those of two nodes in the crowd of callers that moved between zones
	// cost others flows that were open at a server that answered.
	gossipStep     = 100 * time.Millisecond
	minPropagation = 400 * time.Millisecond
	// refuteEvery is how often others are told at most that a server has answered of which
	// they still tell the contrary. It is well under the time in which that has to reach
	// all, before they end flows.
	refuteInterval = 200 * time.Millisecond
	// suspicionFor is how long a finding counts. While a server stays silent some node
	// tries it about every 2 s and renews it; without an end, flows would be ended long
	// after a cut has healed that kept nodes from a server.
	suspicionTimeout = 3500 * time.Millisecond
	// silenceCounts is for how long what was left unanswered counts for a cut between
	// zones. Without an end, a node that nobody asked for anything of a zone since a cut
	// would end the flows there that come to it from a node that stops.
	silenceMaxAge = 2 * time.Second
	// hearingFor is how long ago any server must have answered this node at most for it to
	// judge others: a node that hears nobody is itself cut off.
	maxAnswerAge = 400 * time.Millisecond
	// settling is how long a node that has started, or stood still, doesn't judge servers:
	// it begins with the packets that waited and with all records to read.
	settleTime = 2 * time.Second
)

// How much must speak against a server.
const (
	// openingWeight and dataWeight are what an unanswered opening and unanswered data count
	// for; a server is avoided from avoidAt on. A server accepts openings at once, whatever
	// its load, so one is enough. Data that is repeated may only wait for a slow answer.
	openingWeight = 2
	dataWeight    = 1
	avoidWeight   = 2
	// silentFlows is how many flows a server must have left unanswered before its flows are
	// ended. Three lost packets in a row have a chance of one in 60,000 where a fortieth is
	// lost.
	minFailedFlows = 3
	// deadOpenings is how many openings must be among what a node has found if it goes by
	// itself alone. A server takes openings at once whatever it has to do.
	minFailedOpenings = 2
	// aloneProof is how much this node must have found alone to go by that at once.
	minFlowsAlone = 8
	// deadNodes is how many nodes must have found a server silent to be enough to end its
	// flows, and deadProof how many openings and requests it must have left unanswered in
	// all where there are many nodes, silentFlows where there are few. An opening is given
	// up after a few milliseconds, in which a link may be full: with three that nodes with
	// full links gave up, callers lost flows that were open at a server that was well, also
	// where an opening of this node's own was among them that was given askedFor.
	minReporters  = 2
	minFleetFlows = 5
	// fewNodes is how many others a node may have for news to take a few milliseconds, and
	// newsFanout how many each tells at a time where there are more.
	smallFleetPeers = 12
	gossipFanout    = 3
	// silentServers is how many servers of another zone must be silent, with none of it
	// answering, before the way to the zone counts as cut.
	minSilentInZone = 2
	// silentMost is the part of the own zone's servers that may be silent for the node to
	// judge any, and silentFew a number that always may. Where more are, it is the node
	// whose packets are late: its link or its processor has too much to do.
	maxSilentFraction = 0.34
	minSilentLimit    = 2
)
