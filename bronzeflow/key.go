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

// String returns the protocol's name as in configuration records, or "Unknown".
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

// Key identifies a flow by the caller's and the service's endpoints. Both
// directions of a flow have the same Key. IPv4 addresses are in their
// IPv4-mapped IPv6 form. A Key holds no pointers, so the garbage collector
// doesn't scan a large table of keys.
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

// CallerAddrPort returns the caller's endpoint, with IPv4 addresses unmapped.
func (k Key) CallerAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.CallerPort)
}

// ServiceAddrPort returns the service's endpoint, with IPv4 addresses unmapped.
func (k Key) ServiceAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Service).Unmap(), k.ServicePort)
}

// keyBytes is the length of the binary form of a Key.
const keyBytes = 37

// append appends the binary form of k, which is hashed and sent to peers.
func (k *Key) append(b []byte) []byte {
	b = append(b, k.Caller[:]...)
	b = append(b, k.Service[:]...)
	b = binary.BigEndian.AppendUint16(b, k.CallerPort)
	b = binary.BigEndian.AppendUint16(b, k.ServicePort)
	return append(b, byte(k.Protocol))
}

// MarshalBinary returns the 37-byte binary form of k. It never fails.
func (k Key) MarshalBinary() (b []byte, err error) {
	return k.append(make([]byte, 0, keyBytes)), nil
}

// UnmarshalBinary sets k from the form that MarshalBinary returns. It returns
// ErrKeyLength if b is not 37 bytes.
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

// Hash returns a 64-bit hash of k. It is the same in every process and every
// release, since owners and the order of candidates are computed from it.
func (k *Key) Hash() uint64 {
	var b [keyBytes]byte
	return xxhash.Sum64(k.append(b[:0]))
}

// ServerID identifies one instance of a BackendServer in the whole fleet. It is
// derived from the Customer and the instance's name, never from an address,
// since an address may later belong to another Customer.
type ServerID uint64

// NewServerID returns the ID of a Customer's instance. It is never 0.
func NewServerID(customer, instance string) ServerID {
	id := ServerID(xxhash.Sum64String(customer + "/" + instance))
	if id == 0 {
		return 1
	}
	return id
}

// Mix combines a flow's hash with another hash into a score for rendezvous
// hashing. All nodes must compute the same score, so it must never change.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// CallerHash returns a hash of the caller's address, whatever its port: a caller can't change it
// by opening another flow. It is the same in every process.
func (k *Key) CallerHash() uint64 { return xxhash.Sum64(k.Caller[:]) }
