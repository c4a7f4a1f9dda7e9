package bronzeroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// awayModel is a directory that is told ten times a second how long ago the store answered. The store
// answers a watch every 900 ms while it is up, and at once when it is back.
type awayModel struct {
	d        Directory
	now      time.Time
	answered time.Time
}

func newAwayModel(servers ...string) *awayModel {
	m := &awayModel{now: begin, answered: begin}
	m.d.SetTable(table(1, route(live, "a")), begin)
	for _, name := range servers {
		m.d.Register(server(name, "a"))
	}
	return m
}

// pass advances the clock.
func (m *awayModel) pass(d time.Duration, up bool) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		m.now = m.now.Add(step)
		if up && m.now.Sub(m.answered) >= 900*time.Millisecond {
			m.answered = m.now
		}
		m.d.Confirmed(m.now.Sub(m.answered), m.now)
		m.d.Advance(m.now)
	}
}

// lapse removes the registrations.
func (m *awayModel) lapse(servers ...string) {
	for _, name := range servers {
		m.d.Unregister(name, m.now)
	}
}

func (m *awayModel) status(name string) Status { return m.d.View().ByName(name).Status }

// The store is down until all registrations have lapsed, back for a moment, and down again. Servers can't
// be registered while it is down, so none may count as gone: their open flows would be reset.
func TestStoreDownTwice(t *testing.T) {
	for _, up := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(up.String(), func(t *testing.T) {
			m := newAwayModel("back", "crashed")
			m.pass(time.Second, true)
			for range 3 {
				m.pass(4500*time.Millisecond, false)
				m.pass(100*time.Millisecond, true)
				m.lapse("back", "crashed")
				m.pass(up-100*time.Millisecond, true)
				require.Equal(t, Missing, m.status("back"))
			}
			m.pass(4500*time.Millisecond, false)
			require.Equal(t, Missing, m.status("back"))
			m.pass(1900*time.Millisecond, true)
			require.Equal(t, Missing, m.status("crashed"), "still within two seconds of the return")
			m.d.Register(server("back", "a"))
			m.pass(1100*time.Millisecond, true)
			require.Equal(t, Serving, m.status("back"))
			require.Equal(t, Gone, m.status("crashed"))
		})
	}
}

// A server crashes while the store is up, and while it goes down a second later. New flows must avoid it
// within three seconds of its removal, or of the store's return.
func TestMissingWhileStoreUp(t *testing.T) {
	m := newAwayModel("s")
	for _, offset := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond} {
		m.d.Register(server("s", "a"))
		m.pass(2*time.Second+offset, true)
		m.lapse("s")
		m.pass(MissingTimeout, true)
		require.Equal(t, Missing, m.status("s"))
		m.pass(700*time.Millisecond, true)
		require.Equal(t, Gone, m.status("s"))
	}
	m.d.Register(server("s", "a"))
	m.pass(2*time.Second, true)
	m.lapse("s")
	m.pass(time.Second, true)
	m.pass(20*time.Second, false)
	require.Equal(t, Missing, m.status("s"))
	m.pass(3*time.Second, true)
	require.Equal(t, Gone, m.status("s"))
}

// In a large fleet nodes hear of each answer of the store up to a second late. That must not make it
// count as away again and again, so that no server is ever gone.
func TestMissingWhereAnswersAreHeardLate(t *testing.T) {
	m := newAwayModel("s")
	m.lapse("s")
	for range 3 {
		m.pass(time.Second, false)
		m.answered = m.now.Add(-600 * time.Millisecond)
	}
	m.pass(100*time.Millisecond, false)
	require.Equal(t, Gone, m.status("s"))
}

// A node whose own calls of the store fail learns from its peers that the store answers, and missing
// servers are gone there as elsewhere. A node that learns of no answer keeps them.
func TestMissingWhereOthersReadStore(t *testing.T) {
	told, cut := newAwayModel("s"), newAwayModel("s")
	told.lapse("s")
	cut.lapse("s")
	for range 40 {
		told.answered = told.now.Add(-300 * time.Millisecond)
		told.pass(100*time.Millisecond, false)
		cut.pass(100*time.Millisecond, false)
	}
	require.Equal(t, Gone, told.status("s"))
	require.Equal(t, Missing, cut.status("s"))
}
