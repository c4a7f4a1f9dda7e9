package bronzeflow

// State is what a balancer knows of a flow's progress.
type State uint8

// The states of an Entry.
const (
	// Pending: an Open was forwarded to Server, nothing came back yet.
	Pending State = iota + 1
	// Established: Server accepted, or payload was forwarded to it.
	Established
	// Closed: both directions ended, or one side aborted. The entry is kept
	// for a while so that a reused key meets the same server.
	Closed
)

// Flags are further facts of an Entry.
type Flags uint8

// The flags of an Entry.
const (
	// Owned: this balancer placed the flow or took its ownership over.
	Owned Flags = 1 << iota
	// Exception: Server is not the flow's first candidate, so that other
	// balancers can't derive it.
	Exception
	// Copied: the successor has confirmed its copy.
	Copied
	// Confirmed: a caller's packet has carried the server's Echo back.
	Confirmed
	// CallerClosed: the caller has sent Close.
	CallerClosed
	// ServerClosed: the server has sent Close.
	ServerClosed
	// Committed: payload of the caller was forwarded; no other server may
	// get any of this flow's packets.
	Committed
)

// Entry is what a balancer remembers of one flow. It holds no pointers.
type Entry struct {
	Server ServerID
	// Used and Opened are in seconds on the owner of the table's clock.
	Used   uint32
	Opened uint32
	Echo   uint32
	State  State
	Flags  Flags
	// LastRelayedSequence is the low half of the Sequence of the last payload that another
	// node relayed here, or 0.
	LastRelayedSequence uint16
}
