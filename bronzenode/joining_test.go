package bronzenode

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// newJoiningNode returns a node that isn't running and has no records yet, and those of two services
// as a peer sends them.
func newJoiningNode(t *testing.T) (n *Node, present []bronzelink.RecordVersion, bodies []bronzelink.StoredRecord) {
	t.Helper()
	n, err := New(Config{
		Name: "b", Fleet: "test", AvailabilityZone: "riga-a", EdgeAddress: loopback, DataAddress: loopback,
		ControlAddress: loopback, HTTPAddress: loopback, FabricAddress: service, Plain: true, Log: discardLog(),
	})
	require.NoError(t, err)
	t.Cleanup(n.closeAddresses)
	for i := range 2 {
		body, err := json.Marshal(map[string]any{
			"SchemaVersion": 1, "Customer": "Registry", "Brand": "Maps", "Name": fmt.Sprintf("live-%d", i),
			"Addresses": []string{fmt.Sprintf("192.0.2.%d", i+1)}, "Rules": []any{map[string]any{"Protocol": "TCP", "Port": 443}},
			"Pool": []any{map[string]any{"Instance": fmt.Sprintf("host-%d", i), "Address": "198.51.100.1:6080", "AvailabilityZone": "riga-a"}},
		})
		require.NoError(t, err)
		name := fmt.Sprintf("live-%d", i)
		present = append(present, bronzelink.RecordVersion{Name: name, Revision: 1})
		bodies = append(bodies, bronzelink.StoredRecord{Name: name, Revision: 1, Body: body})
	}
	return n, present, bodies
}

// A peer sends its records in parts. A joining node must not be ready, nor tell the fleet that it has
// the configuration, before it has all of them: it would own flows of services that it doesn't know.
func TestJoiningNodeAwaitsAllRecords(t *testing.T) {
	n, present, bodies := newJoiningNode(t)
	n.onRecords("a", &bronzelink.Records{Revision: 7, Present: present, Bodies: bodies[:1]})
	require.Len(t, n.store.Snapshot().Services, 1)
	require.Zero(t, n.Revision())
	n.requestMissing()
	require.Zero(t, n.Revision())
	n.onRecords("a", &bronzelink.Records{Revision: 7, Present: present, Bodies: bodies[1:]})
	require.EqualValues(t, 7, n.Revision())
	require.Len(t, n.store.Snapshot().Services, 2)
}

// No peer has the newest version of a record that all have refused. A joining node must not wait for it
// for good.
func TestJoiningNodeWithoutRefusedRecord(t *testing.T) {
	n, present, bodies := newJoiningNode(t)
	present[1].Revision = 9
	n.onRecords("a", &bronzelink.Records{Revision: 9, Present: present, Bodies: bodies})
	require.Zero(t, n.Revision())
	n.missing.listedAt = n.missing.listedAt.Add(-firstRecordsTimeout)
	n.requestMissing()
	require.EqualValues(t, 9, n.Revision())
	n.onRecords("a", &bronzelink.Records{Revision: 10, Present: present, Bodies: nil})
	require.EqualValues(t, 10, n.Revision(), "a node that has joined doesn't wait")
}
