package bronzeflow

// Kind is what a packet means for its flow, independent of the transport
// protocol.
type Kind uint8

// The kinds of packets. Open, Datagram and Reset come from callers only;
// Accept and Refuse from backend servers only; Data and Close from both.
const (
	// Invalid is the zero Kind; such packets are dropped and counted.
	Invalid Kind = iota
	// Open requests a new flow: a TCP SYN. Payload in it counts as a request.
	Open
	// Data belongs to an established flow and never creates one.
	Data
	// Datagram is a UDP datagram: it opens its flow or continues it.
	Datagram
	// Close ends the sender's direction: a TCP FIN.
	Close
	// Reset is the caller's abort, which cancels the flow at its server.
	Reset
	// Accept is a server's answer to Open: a TCP SYN-ACK.
	Accept
	// Refuse is a server's refusal or abort: a TCP RST, or an ICMP error.
	Refuse
)

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"Invalid", "Open", "Data", "Datagram", "Close", "Reset", "Accept", "Refuse"}
	if int(k) < len(names) {
		return names[k]
	}
	return "Invalid"
}

// AlreadyForwarded is a bit of Hops that marks a copy of a packet that ends a
// flow. The packet itself was forwarded; the flow's owner only updates its state.
const AlreadyForwarded uint8 = 0x80

// Packet is one packet of a flow, as the balancing logic sees it.
type Packet struct {
	Key  Key
	Kind Kind
	// Payload is the number of payload bytes.
	Payload int
	// Echo ties a caller's packet to the connection of one server. An Accept
	// carries a value chosen by the server (TCP: its initial sequence number
	// plus one), and the caller's first packets after it return that value
	// (TCP: the acknowledgement number). 0 means unknown.
	Echo uint32
	// Sequence identifies a segment of a caller's payload (TCP: the sequence
	// number); a retransmission has the same one. 0 means unknown.
	Sequence uint32
	// Hops counts the balancers that have relayed the packet. The bit
	// AlreadyForwarded is set on a copy of a packet that was forwarded.
	Hops uint8
	// Raw is the packet as received. The balancing logic never reads it, but
	// may keep a copy of that of an Open.
	Raw []byte
}
