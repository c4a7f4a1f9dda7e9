package bronzefleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// newJoinedFleet returns a Fleet that has joined and knows the other members, and
// the messages that it sends to each. Nothing answers them.
func newJoinedFleet(others ...bronzelink.Member) (f *Fleet, sent map[string][]*bronzelink.Message) {
	sent = map[string][]*bronzelink.Message{}
	f = &Fleet{Self: testMember(0)}
	f.Send = func(to bronzelink.Member, m *bronzelink.Message) error {
		sent[to.Name] = append(sent[to.Name], m)
		return nil
	}
	f.do(func(now time.Time) {
		for _, m := range others {
			m.Status = bronzelink.Alive
			f.entries[m.Name] = &entry{m: m, statusSince: now, lastHeard: now}
		}
		f.completeJoin(now)
		f.dirty = true
	})
	return f, sent
}

// A process resumes after the others have declared it dead and owned its slots,
// and have already accepted it again, because it refuted an earlier suspicion as
// it resumed. So no answer mentions its death. Its own slots must be unsettled
// all the same, so that the others are asked.
func TestPausedNodeUnreportedDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sent := newJoinedFleet(testMember(1), testMember(2))
		time.Sleep(time.Hour)
		f.do(f.tick)
		require.True(t, f.View().Fenced)
		name := testMember(1).Name
		asked := sent[name][len(sent[name])-1].Members
		if asked == nil {
			asked = sent[name][len(sent[name])-2].Members
		}
		f.Handle(name, &bronzelink.Message{Members: &bronzelink.Members{Answer: asked.Sequence, Joined: true}})
		require.False(t, f.View().Fenced)
		own := 0
		for slot := range Slots {
			hash := uint64(slot) << slotShift
			if f.View().Owner(hash) == f.Self.Name {
				own++
				require.True(t, f.View().Unsettled(hash, time.Second))
				_, n := f.View().Previous(hash)
				require.Positive(t, n)
			}
		}
		require.Positive(t, own)
	})
}

// A second process announces itself under the name of a member that is alive at
// another address. It is rejected and told of the first, because two owners under
// one name would place a flow twice. At the address of the first it counts as the
// first after a restart, and is accepted at once.
func TestNameConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := testMember(1)
		f, sent := newJoinedFleet(first, testMember(2))
		second := first
		second.Status = bronzelink.Alive
		second.Incarnation += 1 << startShift
		second.ControlAddress = "10.9.9.9:7000"
		clear(sent)
		f.Handle(second.Name, membersMessage(second))
		require.Equal(t, first.ControlAddress, f.View().Members[first.Name].ControlAddress)
		require.Equal(t, first.Incarnation, sent[first.Name][0].Members.Members[0].Incarnation)

		second.ControlAddress = first.ControlAddress
		f.Handle(second.Name, membersMessage(second))
		require.Equal(t, second.Incarnation, f.View().Members[first.Name].Incarnation)
	})
}

// A dead member that isn't on the platform's list of VMs is certainly gone, so
// the fleet doesn't count as partitioned. A live one that isn't on it stays.
func TestVMListConfirmsDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newJoinedFleet(testMember(1), testMember(2))
		dead := testMember(1)
		dead.Status = bronzelink.Suspect
		dead.Accuser = testMember(2).Name
		time.Sleep(2 * time.Second)
		f.Handle(testMember(2).Name, membersMessage(dead))
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.Handle(testMember(2).Name, &bronzelink.Message{HeartbeatAck: &bronzelink.HeartbeatAck{}})
			f.do(f.tick)
		}
		require.NotContains(t, f.View().Members, dead.Name)
		require.True(t, f.View().Partitioned)
		f.SetVMs(nil)
		f.do(f.tick)
		require.False(t, f.View().Partitioned)
		require.Contains(t, f.View().Members, testMember(2).Name)
	})
}

// A process is slow for a moment that is shorter than its lease, while the time
// for a suspect to refute ends. The refutation may still be waiting to be read,
// so the suspect's deadline is extended by the same time.
func TestSlowProcessExtendsDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newJoinedFleet(testMember(1), testMember(2))
		time.Sleep(2 * time.Second)
		f.lastTick = time.Now()
		suspect := testMember(1)
		suspect.Status = bronzelink.Suspect
		suspect.Accuser = testMember(2).Name
		f.Handle(testMember(2).Name, membersMessage(suspect))
		f.entries[suspect.Name].refuteDeadline = time.Now().Add(time.Second)
		time.Sleep(1200 * time.Millisecond)
		f.do(f.tick)
		require.False(t, f.View().Fenced)
		require.Contains(t, f.View().Members, suspect.Name)
		for range 16 {
			time.Sleep(DefaultInterval / ticksPerInterval)
			f.do(f.tick)
		}
		require.NotContains(t, f.View().Members, suspect.Name)
	})
}

// A partition heals and hundreds of members change within an interval. Only the
// first few updates are sent to all neighbours: if all were, a node would exceed
// the bytes for control traffic many times over.
func TestUpdatesBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var others []bronzelink.Member
		for i := range 200 {
			others = append(others, testMember(i+1))
		}
		f, sent := newJoinedFleet(others...)
		clear(sent)
		for _, m := range others {
			m.Status = bronzelink.Alive
			m.Incarnation++
			f.Handle(others[0].Name, membersMessage(m))
		}
		messages := 0
		for _, list := range sent {
			messages += len(list)
		}
		require.LessOrEqual(t, messages, updatesPerInterval*2*targetCount+len(others)*2)
	})
}

// A partition has healed, and claims of deaths from the other side are still
// spreading when this side has suspected a member for seconds because of them.
// Their accuser was unreachable from here until recently, so the claim isn't
// accepted and moves no flows. The same claim by a member of this side is.
func TestDeathClaimCredibility(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newJoinedFleet(testMember(1), testMember(2), testMember(3))
		time.Sleep(2 * time.Second)
		f.lastTick = time.Now()
		f.entries[testMember(3).Name].returnedAt = time.Now()
		claim := testMember(1)
		claim.Status, claim.Accuser = bronzelink.Suspect, testMember(3).Name
		f.Handle(testMember(3).Name, membersMessage(claim))
		require.Equal(t, bronzelink.Suspect, f.View().Members[claim.Name].Status)
		time.Sleep(f.deadAfter())
		f.lastTick = time.Now()
		claim.Status = bronzelink.Dead
		f.Handle(testMember(3).Name, membersMessage(claim))
		require.Contains(t, f.View().Members, claim.Name)
		claim.Accuser = testMember(2).Name
		f.Handle(testMember(3).Name, membersMessage(claim))
		require.NotContains(t, f.View().Members, claim.Name)
	})
}
