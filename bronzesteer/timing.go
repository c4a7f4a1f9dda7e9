package bronzesteer

import "time"

// Durations used in failure detection, roughly in the order of their consequences. A caller
// retransmits an opening after 200 and 600 ms and gives up after 1.4 s. It retransmits a
// request after 200, 600 and 1,400 ms, up to its deadline.
const (
	// minRetransmitGap is the least time between an opening and its first retransmission,
	// which is sent 200 ms later. If they arrive closer together, they were queued here or
	// on the way.
	minRetransmitGap = 100 * time.Millisecond
	// minRetransmitAge is the least age of data at which a retransmission counts as
	// unanswered. Duplicates made by the network arrive at once.
	minRetransmitAge = 150 * time.Millisecond
	// minAvoidTime is how long a server is avoided at first, maxAvoidTime the limit if
	// flows that try it again are also left unanswered: each such try costs a caller 20 ms.
	minAvoidTime = 1500 * time.Millisecond
	maxAvoidTime = 6 * time.Second
	// reportDelay is the least age of a finding that is reported in a large fleet. Openings
	// that are overdue because a link is full for a moment are answered sooner; otherwise
	// all nodes would report each of them, and then the opposite.
	reportDelay = 100 * time.Millisecond
	// minOwnSilence is how long a server must have left this node without an answer for
	// peers' findings to end flows there. The reason is that of reportDelay.
	minOwnSilence = reportDelay
	// minSilence is how long a server must have answered nobody before its flows are ended.
	// A server with a full queue still answers some flow every few milliseconds.
	minSilence = 350 * time.Millisecond
	// minSilenceBusy applies instead if mostly requests were left unanswered, and fewer
	// than minFailedOpenings openings. A server accepts openings at once whatever its load,
	// but the last request of a full queue waits for all those before it, twice as long at
	// a cold server.
	minSilenceBusy = 500 * time.Millisecond
	// minSilenceAlone applies instead if there are peers, none has confirmed the finding,
	// and fewer than minFlowsAlone flows support it: while the node's own link is full, its
	// packets reach no server. In a large fleet it applies from minFlowsAlone flows on, and
	// suspicionTimeout below.
	minSilenceAlone = 1200 * time.Millisecond
	// gossipStep is the time of one step in which each node of a large fleet informs
	// gossipFanout others, minPropagation the least time for all steps. Until then, and as
	// long again for contradicting answers, peers' findings end no flow: if they take
	// effect at once, the findings of two nodes, made while a crowd of callers moves
	// between zones, can end open flows at a healthy server.
	gossipStep     = 100 * time.Millisecond
	minPropagation = 400 * time.Millisecond
	// refuteInterval is the least interval at which peers are told that a server which they
	// report has answered. It is well below the time in which that must reach all nodes
	// before they end flows.
	refuteInterval = 200 * time.Millisecond
	// suspicionTimeout is how long a finding counts. While a server stays silent, some node
	// tries it about every 2 s and renews the finding. Without the limit, flows would be
	// ended long after a partition has healed.
	suspicionTimeout = 3500 * time.Millisecond
	// silenceMaxAge is how long unanswered flows count as evidence of a partition between
	// zones. Without the limit, a node that had no traffic to a zone since a partition
	// would end flows there that it takes over from a node that stops.
	silenceMaxAge = 2 * time.Second
	// maxAnswerAge is how recently any server must have answered this node for it to detect
	// failures: a node that gets no answers is itself cut off.
	maxAnswerAge = 400 * time.Millisecond
	// settleTime is how long a node detects no failures after its start or a pause: it
	// begins with the packets that were queued and with all records to read.
	settleTime = 2 * time.Second
)

// Evidence required to avoid or fail a server.
const (
	// openingWeight and dataWeight are the weights of an unanswered opening and of
	// unanswered data. A server is avoided from avoidWeight on. A server accepts openings
	// at once whatever its load, so that one suffices; retransmitted data may only wait for
	// a slow answer.
	openingWeight = 2
	dataWeight    = 1
	avoidWeight   = 2
	// minFailedFlows is the number of flows that a server must have left unanswered before
	// its flows are ended. At a loss of one packet in forty, three losses in a row have a
	// probability of 1/60,000.
	minFailedFlows = 3
	// minFailedOpenings is the number of unanswered openings from which a node that relies
	// on its own findings alone waits for minSilence rather than minSilenceBusy.
	minFailedOpenings = 2
	// minFlowsAlone is the number of unanswered flows from which a node that relies on its
	// own findings alone requires a shorter silence.
	minFlowsAlone = 8
	// minReporters is the number of nodes that must have found a server silent for its
	// flows to be ended, minFleetFlows the number of openings and requests that it must
	// have left unanswered in a large fleet. In a small fleet it is minFailedFlows. An
	// opening is given up after a few milliseconds, during which a link may be full: with a
	// limit of three such openings, nodes with full links end flows at healthy servers,
	// even if one of the openings is this node's own and has lasted minOwnSilence.
	minReporters  = 2
	minFleetFlows = 5
	// smallFleetPeers is the number of peers up to which messages reach all nodes within a
	// few milliseconds, gossipFanout the number of peers that a node informs at a time in
	// larger fleets.
	smallFleetPeers = 12
	gossipFanout    = 3
	// minSilentInZone is the number of servers of another zone that must be silent, with
	// none of it answering, for new flows to avoid the zone.
	minSilentInZone = 2
	// minUnansweredInZone is the number of servers of another zone, or all of them if there
	// are fewer, that must have left something unanswered, with none of it answering, for
	// the zone to count as unreachable. While a third of a zone's servers are down or slow,
	// so many of them chosen at random are that with a probability of 1/240.
	minUnansweredInZone = 5
	// maxSilentFraction is the fraction of the own zone's servers that may be silent for
	// the node to detect failures, minSilentLimit a number that always may. If more are,
	// the node's own packets are delayed: its link or its processor is overloaded.
	maxSilentFraction = 0.34
	minSilentLimit    = 2
)
