package bronzefleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// fetchTime stands for a request for records and its answer.
const fetchTime = 50 * time.Millisecond

// One balancer of 490 has read a new configuration revision from the platform. It
// sends heartbeats at once, in which its neighbours see the higher revision. They
// fetch the records from it instead of the platform and do the same, until the
// revision is in force on all nodes.
func TestRevisionPropagation(t *testing.T) {
	t.Parallel()
	const size, revision = 490, 7
	runInBubble(t, func(t *testing.T, n *network) {
		nodes := n.startJoined(size)
		for _, p := range nodes {
			fetching := false // guarded by n.mu
			p.OnBehind = func(bronzelink.Member) {
				n.mu.Lock()
				defer n.mu.Unlock()
				if fetching {
					return
				}
				fetching = true
				time.AfterFunc(fetchTime, func() { p.SetRevision(revision) })
			}
		}
		time.Sleep(2 * time.Second)
		begin := time.Now()
		nodes[17].SetRevision(revision)
		behind := func() (count int) {
			for _, p := range nodes {
				p.mu.Lock()
				if p.self.Revision != revision {
					count++
				}
				p.mu.Unlock()
			}
			return count
		}
		for behind() > 0 && time.Since(begin) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		t.Log("in force on all after", time.Since(begin))
		require.Zero(t, behind())
		require.LessOrEqual(t, time.Since(begin), 2*time.Second)
	})
}
