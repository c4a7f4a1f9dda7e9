package bronzeflow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Protocol is the IP protocol number of a flow.
type Protocol uint8

// The protocols that a service's rules can name.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the name that records use for the protocol.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "TCP"
	case UDP:
		return "UDP"
	default:
		return "Unknown"
	}
}

// Key identifies a flow by the caller's and the service's endpoints. It holds
// no pointers, so a large table of keys costs the garbage collector nothing.
// IPv4 addresses are held in their IPv4-mapped IPv6 form. Both directions of
// a flow have the same Key.
type Key struct {
	Caller      [16]byte
	Service     [16]byte
	CallerPort  uint16
	ServicePort uint16
	Protocol    Protocol
}

// NewKey returns the key of a flow between caller and service.
func NewKey(p Protocol, caller, service netip.AddrPort) Key {
	return Key{
		Caller:      caller.Addr().As16(),
		Service:     service.Addr().As16(),
		CallerPort:  caller.Port(),
		ServicePort: service.Port(),
		Protocol:    p,
	}
}

// CallerAddrPort returns the caller's endpoint, IPv4 addresses unmapped.
func (k Key) CallerAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.CallerPort)
}

// ServiceAddrPort returns the service's endpoint, IPv4 addresses unmapped.
func (k Key) ServiceAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Service).Unmap(), k.ServicePort)
}

// keyBytes is the length of the fixed form of a Key.
const keyBytes = 37

// append appends the fixed form of k, which is hashed and sent to peers.
func (k *Key) append(b []byte) []byte {
	b = append(b, k.Caller[:]...)
	b = append(b, k.Service[:]...)
	b = binary.BigEndian.AppendUint16(b, k.CallerPort)
	b = binary.BigEndian.AppendUint16(b, k.ServicePort)
	return append(b, byte(k.Protocol))
}

// MarshalBinary returns k in 37 bytes. It never fails.
func (k Key) MarshalBinary() (b []byte, err error) {
	return k.append(make([]byte, 0, keyBytes)), nil
}

// UnmarshalBinary sets k from what MarshalBinary returned. It returns
// ErrKeyLength if b has another length.
func (k *Key) UnmarshalBinary(b []byte) (err error) {
	if len(b) != keyBytes {
		return ErrKeyLength
	}
	copy(k.Caller[:], b)
	copy(k.Service[:], b[16:])
	k.CallerPort = binary.BigEndian.Uint16(b[32:])
	k.ServicePort = binary.BigEndian.Uint16(b[34:])
	k.Protocol = Protocol(b[36])
	return nil
}

// ErrKeyLength is returned for a binary form of a Key that is not 37 bytes.
var ErrKeyLength = errors.New("flow key has not 37 bytes")

// Hash returns a 64-bit hash of k that is the same in every process and
// every release: ownership and candidate order are computed from it.
func (k *Key) Hash() uint64 {
	var b [keyBytes]byte
	return xxhash.Sum64(k.append(b[:0]))
}

// ServerID identifies one instance of a BackendServer in the whole fleet. It
// is derived from the instance's name, never from its address, because an
// address may later belong to another Customer.
type ServerID uint64

// NewServerID returns the identifier of a Customer's instance. It is never 0.
func NewServerID(customer, instance string) ServerID {
	id := ServerID(xxhash.Sum64String(customer + "/" + instance))
	if id == 0 {
		return 1
	}
	return id
}

// Mix combines a flow's hash with another hash into a score for rendezvous
// hashing. Every node must compute the same score, so it is fixed for ever.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
