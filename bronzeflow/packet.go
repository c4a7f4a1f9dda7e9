package bronzeflow

// Kind says what a packet means for its flow. It is all that the decisions
// need to know of a transport protocol's header.
type Kind uint8

// The kinds of packets. Open, Datagram and Reset come from callers only;
// Accept and Refuse from backend servers only; Data and Close from both.
const (
	// Invalid is the zero Kind; a packet of it is dropped and counted.
	Invalid Kind = iota
	// Open asks for a new flow: a TCP SYN. Payload in it counts as a request.
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

// AlreadyForwarded marks, in Hops, the copy of a packet that ends a flow: it has been
// forwarded, and the flow's owner shall only take note of it.
const AlreadyForwarded uint8 = 0x80

// Packet is one packet of a flow as the decisions see it.
type Packet struct {
	Key  Key
	Kind Kind
	// Payload is the number of bytes of request or answer it carries.
	Payload int
	// Echo ties a caller's packet to one server's connection. An Accept
	// carries a value of the server's choice (TCP: its initial sequence
	// number plus one), which the caller's first packets afterwards carry
	// back (TCP: the acknowledgement number). 0 means not known.
	Echo uint32
	// Sequence numbers a caller's pieces of payload (TCP: the sequence
	// number): a piece that is sent again has the same. 0 means not known.
	Sequence uint32
	// Hops counts the balancers that relayed the packet so far. The bit
	// AlreadyForwarded is set on a copy that its sender has forwarded already.
	Hops uint8
	// Raw is the packet as it was on the wire. The decisions never read it;
	// they may keep a copy of an Open's.
	Raw []byte
}
