package bronzeedge

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

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
	"Priorities": [{"Service": "198.18.0.1:443", "Priority": 0}], "ClosedPools": ["batch"],
	"Shed": [{"Pool": "live", "Priority": 2, "Fraction": 0.25, "Until": "2026-03-01T12:00:00+01:00"}]}`

// Guards against orders that are converted wrongly, shares that are lost for pools with other
// orders, and settings without orders that change decisions.
func TestOverloadRules(t *testing.T) {
	cfg, err := ParseConfig(withOverload(orders))
	require.NoError(t, err)
	rules := cfg.Overload.Rules()
	shares := map[string]bronzeadmit.Share{"a": {Guaranteed: 0.7, Highest: 0.9}, "b": {Guaranteed: 0.3}}
	require.Equal(t, &bronzeadmit.Rules{Shares: shares}, rules.Pool("other"))
	require.Equal(t, &bronzeadmit.Rules{Shares: shares, Closed: true}, rules.Pool("batch"))
	live := *rules.Pool("live")
	live.Shed[0].Until = live.Shed[0].Until.UTC()
	shed := bronzeadmit.ShedRule{Priority: 2, Fraction: 0.25, Until: time.Date(2026, 3, 1, 11, 0, 0, 0, time.UTC)}
	require.Equal(t, bronzeadmit.Rules{Shares: shares, Shed: []bronzeadmit.ShedRule{shed}}, live)
	service := netip.MustParseAddrPort("198.18.0.1:443")
	require.Equal(t, 0, rules.Priority(&bronzeroute.Route{Service: service, Priority: 5}))
	require.Equal(t, 5, rules.Priority(&bronzeroute.Route{Priority: 5}))
	for _, body := range [][]byte{[]byte(validConfig), withOverload("{}"), withOverload("null"), withOverload(`{"Shares": []}`)} {
		cfg, err = ParseConfig(body)
		require.NoError(t, err)
		require.Nil(t, cfg.Overload.Rules())
		require.Nil(t, cfg.Overload.Rules().Pool("live"))
		require.Equal(t, 3, cfg.Overload.Rules().Priority(&bronzeroute.Route{Priority: 3}))
	}
}

// Guards against errors that don't lead to the element, and misspelt fields that are ignored.
func TestOverloadFaults(t *testing.T) {
	const until = `"Until": "2026-01-01T00:00:00Z"`
	// Each fault is in the element after the given ones.
	for _, c := range []struct{ list, given, faulty, want string }{
		{"Shares", `{"Customer": "a"}, `, `{"Customer": "b", "Guarantee": 1}`, "[1].Guarantee: is not a field"},
		{"Shares", `{"Customer": "a"}, `, `{"Customer": "b", "Guaranteed": 1.5}`, "[1].Guaranteed: 1.5 is not between 0 and 1"},
		{"Shares", `{"Customer": "a"}, `, `{"Customer": "a"}`, `[1].Customer: "a" is given twice, first at Overload.Shares[0]`},
		{"Shares", `{"Customer": "a", "Guaranteed": 0.6}, `, `{"Customer": "b", "Guaranteed": 0.5}`, "[1].Guaranteed: 0.5 makes the guaranteed shares add up to 1.1"},
		{"Shares", "", `{"Customer": "a", "Highest": -1}`, "[0].Highest: -1 is not between 0 and 1"},
		{"Shares", "", `{"Customer": "a", "Guaranteed": 0.5, "Highest": 0.4}`, "[0].Highest: 0.4 is below the guaranteed 0.5"},
		{"Shares", "", `{}`, "[0].Customer: is missing"}, {"Shares", "", `{"Guaranteed": "much"}`, "[0].Guaranteed: is not a number"},
		{"Priorities", "", `{}`, "[0].Service: is missing"}, {"Priorities", "", `{"Service": "host:1"}`, `[0].Service: "host:1"`},
		{"Priorities", "", `{"Service": "10.0.0.1:0"}`, "[0].Service: 10.0.0.1:0 has port 0"}, {"Priorities", `{"Service": "10.0.0.1:1"}, `, `{"Service": "[::ffff:10.0.0.1]:1"}`, "[1].Service: 10.0.0.1:1 is given twice"},
		{"Priorities", "", `{"Service": "10.0.0.1:1", "Priority": -1}`, "[0].Priority: -1 is below 0"},
		{"ClosedPools", `"a", `, `""`, "[1]: is empty"}, {"ClosedPools", `"a", "b", `, `"a"`, `[2]: "a" is given twice, first at Overload.ClosedPools[0]`},
		{"Shed", "", `{"Fraction": 1}`, "[0].Pool: is missing"}, {"Shed", "", `{"Pool": "a", "Fraction": 1}`, "[0].Until: is missing"},
		{"Shed", "", `{"Pool": "a", "Fraction": 2, ` + until + `}`, "[0].Fraction: 2 is not between"},
		{"Shed", "", `{"Pool": "a", "Until": "soon"}`, `[0].Until: "soon"`}, {"Shed", "", `{"Pool": "a", "Priority": -2, ` + until + `}`, "[0].Priority: -2 is below 0"},
		{"", "", `[]`, ": is not an object"}, {"", "", `{"Colour": 1}`, ".Colour: is not a field"},
		{"", "", `{"invalid": 1}`, ".invalid: is not a field"}, {"", "", `{"Shares": {}}`, ".Shares: is not an array"},
	} {
		overload, path := c.faulty, overloadField
		if c.list != "" {
			overload, path = `{"`+c.list+`": [`+c.given+c.faulty+`]}`, path+"."+c.list
		}
		_, err := ParseConfig(withOverload(overload))
		require.ErrorContains(t, err, path+c.want)
		require.IsType(t, &FieldError{}, err)
	}
}

// Guards against a faulty order that keeps a node from starting, and against leaving out other
// faults with it.
func TestReadInitialConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, withOverload(`{"ClosedPools": [""]}`), 0o600))
	cfg, refused, err := ReadInitialConfig(path)
	require.NoError(t, err)
	require.ErrorContains(t, refused, "Overload.ClosedPools[0]")
	require.NoError(t, cfg.Check())
	require.Equal(t, "edge-1", cfg.Name)
	require.NoError(t, os.WriteFile(path, []byte(`{"Overload": {"ClosedPools": [""]}}`), 0o600))
	_, refused, err = ReadInitialConfig(path)
	require.ErrorContains(t, err, "Name: is missing")
	require.NoError(t, refused)
}

// Guards against orders that need a restart, and against a faulty change that drops those in
// force.
func TestReloadOverload(t *testing.T) {
	former, err := ParseConfig([]byte(validConfig))
	require.NoError(t, err)
	e := &Edge{cfg: former, log: NewLog(io.Discard), started: time.Now()}
	defer e.log.Close()
	cfg, err := ParseConfig(withOverload(orders))
	require.Empty(t, e.cfg.restartFields(&cfg))
	e.Reload(cfg, err)
	require.True(t, e.steerer.Rules().Pool("batch").Closed)
	e.Reload(ParseConfig(withOverload(`{"ClosedPools": [7]}`)))
	require.True(t, e.steerer.Rules().Pool("batch").Closed)
	end := time.Date(2026, 3, 1, 11, 0, 0, 0, time.UTC)
	pools := e.steerer.Pools(end.Add(-1))
	require.Equal(t, []string{"batch", "live"}, []string{pools[0].Pool, pools[1].Pool})
	require.Len(t, pools[1].Rules.Shed, 1)
	require.Empty(t, e.steerer.Pools(end)[1].Rules.Shed)
	e.Reload(former, nil)
	require.Nil(t, e.steerer.Rules())
}
