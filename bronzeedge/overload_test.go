package bronzeedge

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// withOverload returns valid settings with the given Overload.
func withOverload(overload string) []byte {
	return []byte(strings.TrimSuffix(validConfig, "}") + `, "Overload": ` + overload + "}")
}

const orders = `{
	"Shares": [{"Customer": "a", "Guaranteed": 0.7, "Highest": 0.9}, {"Customer": "b", "Guaranteed": 0.3}],
	"Priorities": [{"Service": "198.18.0.1:443", "Priority": 0}],
	"ClosedPools": ["batch"],
	"Shed": [{"Pool": "live", "Priority": 2, "Fraction": 0.25, "Until": "2026-03-01T12:00:00+01:00"}]}`

// Guards against orders that are converted wrongly, and shares that are lost for pools with
// other orders.
func TestOverloadRules(t *testing.T) {
	cfg, err := ParseConfig(withOverload(orders))
	require.NoError(t, err)
	rules := cfg.Overload.Rules()
	shares := map[string]bronzeadmit.Share{"a": {Guaranteed: 0.7, Highest: 0.9}, "b": {Guaranteed: 0.3}}
	require.Equal(t, &bronzeadmit.Rules{Shares: shares}, rules.Pool("other"))
	require.Equal(t, &bronzeadmit.Rules{Shares: shares, Closed: true}, rules.Pool("batch"))
	live := rules.Pool("live")
	require.Equal(t, shares, live.Shares)
	require.Len(t, live.Shed, 1)
	require.Equal(t, 2, live.Shed[0].Priority)
	require.InDelta(t, 0.25, live.Shed[0].Fraction, 0)
	require.True(t, live.Shed[0].Until.Equal(time.Date(2026, 3, 1, 11, 0, 0, 0, time.UTC)))
	service := netip.MustParseAddrPort("198.18.0.1:443")
	require.Equal(t, 0, rules.Priority(&bronzeroute.Route{Service: service, Priority: 5}))
	require.Equal(t, 5, rules.Priority(&bronzeroute.Route{Priority: 5}))
}

// Guards against settings without orders that change decisions.
func TestOverloadAbsent(t *testing.T) {
	for _, body := range [][]byte{[]byte(validConfig), withOverload("{}"), withOverload("null"), withOverload(`{"Shares": []}`)} {
		cfg, err := ParseConfig(body)
		require.NoError(t, err)
		rules := cfg.Overload.Rules()
		require.Nil(t, rules)
		require.Nil(t, rules.Pool("live"))
		require.Equal(t, 3, rules.Priority(&bronzeroute.Route{Priority: 3}))
	}
}

// Guards against errors that don't lead to the element, and misspelt fields that are ignored.
func TestOverloadFaults(t *testing.T) {
	for _, c := range []struct{ overload, want string }{
		{`[]`, "Overload: is not an object"},
		{`{"Colour": 1}`, "Overload.Colour: is not a field"},
		{`{"invalid": 1}`, "Overload.invalid: is not a field"},
		{`{"Shares": {}}`, "Overload.Shares: is not an array"},
		{`{"Shares": [{"Customer": "a"}, {"Customer": "b", "Guarantee": 1}]}`, "Overload.Shares[1].Guarantee: is not a field"},
		{`{"Shares": [{"Customer": "a"}, {"Customer": "b", "Guaranteed": 1.5}]}`, "Overload.Shares[1].Guaranteed: 1.5 is not between 0 and 1"},
		{`{"Shares": [{"Customer": "a", "Highest": -1}]}`, "Overload.Shares[0].Highest: -1 is not between 0 and 1"},
		{`{"Shares": [{"Customer": "a", "Guaranteed": 0.5, "Highest": 0.4}]}`, "Overload.Shares[0].Highest: 0.4 is below the guaranteed 0.5"},
		{`{"Shares": [{"Customer": "a", "Guaranteed": 0.6}, {"Customer": "b", "Guaranteed": 0.5}]}`, "Overload.Shares[1].Guaranteed: 0.5 makes the guaranteed shares add up to 1.1"},
		{`{"Shares": [{"Guaranteed": 0.5}]}`, "Overload.Shares[0].Customer: is missing"},
		{`{"Shares": [{"Customer": "a"}, {"Customer": "a"}]}`, "Overload.Shares[1].Customer: \"a\" is given twice, first at Overload.Shares[0]"},
		{`{"Shares": [{"Customer": "a", "Guaranteed": "much"}]}`, "Overload.Shares[0].Guaranteed: is not a number"},
		{`{"Priorities": [{"Priority": 1}]}`, "Overload.Priorities[0].Service: is missing"},
		{`{"Priorities": [{"Service": "host:1"}]}`, "Overload.Priorities[0].Service: \"host:1\""},
		{`{"Priorities": [{"Service": "10.0.0.1:0"}]}`, "Overload.Priorities[0].Service: 10.0.0.1:0 has port 0"},
		{`{"Priorities": [{"Service": "10.0.0.1:1"}, {"Service": "[::ffff:10.0.0.1]:1"}]}`, "Overload.Priorities[1].Service: 10.0.0.1:1 is given twice"},
		{`{"Priorities": [{"Service": "10.0.0.1:1", "Priority": -1}]}`, "Overload.Priorities[0].Priority: -1 is below 0"},
		{`{"ClosedPools": ["a", ""]}`, "Overload.ClosedPools[1]: is empty"},
		{`{"ClosedPools": ["a", "b", "a"]}`, "Overload.ClosedPools[2]: \"a\" is given twice, first at Overload.ClosedPools[0]"},
		{`{"Shed": [{"Fraction": 1}]}`, "Overload.Shed[0].Pool: is missing"},
		{`{"Shed": [{"Pool": "a", "Fraction": 2, "Until": "2026-01-01T00:00:00Z"}]}`, "Overload.Shed[0].Fraction: 2 is not between"},
		{`{"Shed": [{"Pool": "a", "Fraction": 1}]}`, "Overload.Shed[0].Until: is missing"},
		{`{"Shed": [{"Pool": "a", "Until": "soon"}]}`, "Overload.Shed[0].Until: \"soon\""},
		{`{"Shed": [{"Pool": "a", "Priority": -2, "Until": "2026-01-01T00:00:00Z"}]}`, "Overload.Shed[0].Priority: -2 is below 0"},
	} {
		_, err := ParseConfig(withOverload(c.overload))
		var field *FieldError
		require.True(t, errors.As(err, &field), "%s: %v", c.overload, err)
		require.Contains(t, err.Error(), c.want)
	}
}

// Guards against a faulty order that keeps a node from starting, and against leaving out other
// faults with it.
func TestReadInitialConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(b []byte) { require.NoError(t, os.WriteFile(path, b, 0o600)) }
	write(withOverload(`{"ClosedPools": [""]}`))
	cfg, refused, err := ReadInitialConfig(path)
	require.NoError(t, err)
	require.ErrorContains(t, refused, "Overload.ClosedPools[0]")
	require.NoError(t, cfg.Check())
	require.Equal(t, "edge-1", cfg.Name)
	write([]byte(`{"Overload": {"ClosedPools": [""]}}`))
	_, refused, err = ReadInitialConfig(path)
	require.ErrorContains(t, err, "Name: is missing")
	require.NoError(t, refused)
}

// Guards against orders that need a restart, and against a faulty change that drops those in
// force.
func TestReloadOverload(t *testing.T) {
	cfg, err := ParseConfig(withOverload(orders))
	require.NoError(t, err)
	e := &Edge{cfg: cfg, log: NewLog(io.Discard), started: time.Now()}
	e.cfg.Overload = Overload{}
	defer e.log.Close()
	require.Empty(t, e.cfg.restartFields(&cfg))
	e.Reload(cfg, nil)
	require.True(t, e.steerer.Rules().Pool("batch").Closed)
	e.Reload(ParseConfig(withOverload(`{"ClosedPools": [7]}`)))
	require.True(t, e.steerer.Rules().Pool("batch").Closed)
	pools := e.steerer.Pools(time.Date(2026, 3, 1, 10, 59, 59, 0, time.UTC))
	require.Equal(t, []string{"batch", "live"}, []string{pools[0].Pool, pools[1].Pool})
	require.Len(t, pools[1].Rules.Shed, 1)
	pools = e.steerer.Pools(time.Date(2026, 3, 1, 11, 0, 0, 0, time.UTC))
	require.Empty(t, pools[1].Rules.Shed)
	cfg.Overload = Overload{}
	e.Reload(cfg, nil)
	require.Nil(t, e.steerer.Rules())
}
