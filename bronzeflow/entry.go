package bronzeflow

// State is the progress of a flow as far as a balancer knows it.
type State uint8

// The states of an Entry.
const (
	// Pending: an Open was forwarded to Server, which hasn't answered yet.
	Pending State = iota + 1
	// Established: Server accepted, or payload was forwarded to it.
	Established
	// Closed: both directions ended, or one side aborted. The entry is kept
	// for a while so that packets with the same key go to the same server.
	Closed
)

// Flags are properties of an Entry; they can be combined.
type Flags uint8

// The flags of an Entry.
const (
	// Owned: this balancer placed the flow or took over its ownership.
	Owned Flags = 1 << iota
	// Exception: Server is not the flow's first candidate, so other balancers
	// can't derive it from the key.
	Exception
	// Copied: the successor has confirmed its copy of the entry.
	Copied
	// Confirmed: a packet of the caller has returned the server's Echo.
	Confirmed
	// CallerClosed: the caller has sent Close.
	CallerClosed
	// ServerClosed: the server has sent Close.
	ServerClosed
	// Committed: payload of the caller was forwarded, so no other server may
	// get packets of this flow.
	Committed
)

// Entry is the state of one flow in a Table. It holds no pointers.
type Entry struct {
	Server ServerID
	// Used is when the flow was last used and Opened when it was opened, in
	// seconds on the clock of the table's user.
	Used   uint32
	Opened uint32
	// Echo is Packet.Echo of the server's last Accept, or 0.
	Echo  uint32
	State State
	Flags Flags
	// LastRelayedSequence is the low 16 bits of Packet.Sequence of the last
	// payload that another node relayed to this one, or 0.
	LastRelayedSequence uint16
}
