package bronzepool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

func newAccount(a *Admission, customer, name string, l bronzeconf.Limits) *Account {
	return a.SetService(&bronzeconf.Service{Customer: customer, Name: name, Limits: l})
}

func TestServiceLimits(t *testing.T) {
	var a Admission
	acc := newAccount(&a, "Acme", "web", bronzeconf.Limits{HalfOpen: 2, Open: 3})
	require.Equal(t, Admitted, acc.Admit())
	require.Equal(t, Admitted, acc.Admit())
	require.Equal(t, HalfOpenDenied, acc.Admit())
	acc.Established()
	require.Equal(t, Admitted, acc.Admit())
	acc.Established()
	require.Equal(t, OpenDenied, acc.Admit())
	acc.Ended(true)
	require.Equal(t, Admitted, acc.Admit())
}

func TestRemoveServiceOpenFlows(t *testing.T) {
	svc := &bronzeconf.Service{Customer: "Acme", Name: "web", Limits: bronzeconf.Limits{Open: 1}}
	a := Admission{Open: 9}
	old := a.SetService(svc)
	require.Equal(t, Admitted, old.Admit())
	a.RemoveService(svc)
	require.Equal(t, Admitted, a.SetService(svc).Admit())
	require.EqualValues(t, 2, a.customers["Acme"].open)
	old.Ended(false)
	require.EqualValues(t, 1, a.open.Load())
	a.SetService(svc).Ended(false)
	a.RemoveService(svc)
	require.Empty(t, a.customers)
}

func TestRateLimitRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a Admission
		acc := newAccount(&a, "Acme", "web", bronzeconf.Limits{NewPerSecond: 5})
		for range 5 {
			require.Equal(t, Admitted, acc.Admit())
		}
		require.Equal(t, RateDenied, acc.Admit())
		time.Sleep(time.Second / 5)
		require.Equal(t, Admitted, acc.Admit())
		require.Equal(t, RateDenied, acc.Admit())
	})
}

// One Customer's service is flooded with openings that are never established.
// Another Customer's callers must still be admitted when the flood has used up
// all that it can get of the node's half-open flows. As the flood's flows time
// out, both Customers converge to the fair share.
func TestAdmissionFairShare(t *testing.T) {
	a := Admission{HalfOpen: 300}
	flood := newAccount(&a, "Storm", "web", bronzeconf.Limits{})
	other := newAccount(&a, "Calm", "web", bronzeconf.Limits{})
	for range 1000 {
		flood.Admit()
	}
	require.Equal(t, NodeHalfOpenDenied, flood.Admit())
	const want = 75
	for range want {
		require.Equal(t, Admitted, other.Admit())
	}
	for range 1000 {
		flood.Ended(false)
		flood.Admit()
		other.Admit()
	}
	require.InDelta(t, 100, other.halfOpen, 2)
	require.InDelta(t, 100, flood.halfOpen, 2)
}

func TestAdmissionCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Admission{HalfOpen: 20, Open: 40}
		accounts := []*Account{
			newAccount(&a, "A", "x", bronzeconf.Limits{HalfOpen: 5, Open: 9}),
			newAccount(&a, "A", "y", bronzeconf.Limits{}),
			newAccount(&a, "B", "x", bronzeconf.Limits{}),
		}
		half, established := make([]int64, 3), make([]int64, 3)
		steps := rapid.SliceOf(rapid.IntRange(0, 11)).Draw(t, "Steps")
		for _, step := range steps {
			i := step % 3
			acc := accounts[i]
			switch op := step / 3; {
			case op == 0 && acc.Admit() == Admitted:
				half[i]++
			case op == 1 && half[i] > 0:
				acc.Established()
				half[i]--
				established[i]++
			case op == 2 && half[i] > 0:
				acc.Ended(false)
				half[i]--
			case op == 3 && established[i] > 0:
				acc.Ended(true)
				established[i]--
			}
			require.Equal(t, half[0]+half[1]+half[2], a.halfOpen.Load())
			require.LessOrEqual(t, a.halfOpen.Load(), int64(20))
			require.LessOrEqual(t, a.open.Load(), int64(40))
			require.Equal(t, half[i]+established[i], acc.open)
			require.LessOrEqual(t, accounts[0].open, int64(9))
			require.LessOrEqual(t, accounts[0].halfOpen, int64(5))
		}
	})
}

func TestAdmitAllocs(t *testing.T) {
	a := Admission{HalfOpen: 10, Open: 10}
	acc := newAccount(&a, "Acme", "web", bronzeconf.Limits{NewPerSecond: 1 << 30})
	n := testing.AllocsPerRun(100, func() {
		acc.Admit()
		acc.Established()
		acc.Ended(true)
	})
	require.Zero(t, n)
}
